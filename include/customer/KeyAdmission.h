#pragma once

#include "include/base/Clock.h"
#include "include/customer/Credential.h"
#include "include/fleet/FleetConfig.h"

#include <optional>
#include <string>

namespace waxwing {

/** Reason of a request that was refused because its key may have been taken away without this node knowing it. */
constexpr const char *unconfirmedReason = "config-not-confirmed";

/** How a request's key is checked at its ingress. */
struct KeyAdmissionTuning {
    /**
     * A key is accepted only while the configuration was proven to be the newest at most this long ago. Nothing: a key
     * that was taken away may work until the change is known here.
     */
    std::optional<Millis> maxConfigAge;
};

enum class AdmissionResult {
    Admitted,
    /** No key, a malformed or an unknown one. */
    Unauthorized,
    /** The configuration may be outdated, so that the key may have been taken away. */
    Unconfirmed,
};

struct Admission {
    AdmissionResult result = AdmissionResult::Admitted;
    /** Stable code for logs and the caller; empty if admitted. */
    std::string reason;
    /** The customer that holds the key. Valid as long as the configuration. */
    std::optional<Customer> customer;
};

/** What is known of a request when its key is checked. */
struct AdmissionQuery {
    const Route &route;
    const Credential &credential;
    /** Time since the configuration was proven to be the newest; nothing if it never was. */
    std::optional<Duration> configAge;
};

/**
 * Decides whether a request may run and for which customer. Servers' nested calls carry no key and are not told apart
 * from callers' requests: their routes must be public. A key that is taken away stops working everywhere within
 * maxConfigAge: a node that has not proven its configuration since then refuses every key. Thread safe.
 */
Admission admitCaller(const FleetConfig &config, const AdmissionQuery &query, const KeyAdmissionTuning &tuning);

} // namespace waxwing
