#include "include/customer/KeyAdmission.h"

namespace waxwing {

namespace {

Admission rejected(AdmissionResult result, const char *reason)
{
    return Admission{result, reason, std::nullopt};
}

bool isConfirmed(const AdmissionQuery &query, const KeyAdmissionTuning &tuning)
{
    return !tuning.maxConfigAge || (query.configAge && *query.configAge <= *tuning.maxConfigAge);
}

} // namespace

Admission admitCaller(const FleetConfig &config, const AdmissionQuery &query, const KeyAdmissionTuning &tuning)
{
    const Credential &credential = query.credential;
    const bool needsKey = config.requiresKeys && !query.route.isPublic;
    if (!needsKey) {
        Admission admission;
        const bool hasKey = config.requiresKeys && credential.kind == Credential::Kind::Key;
        if (hasKey && isConfirmed(query, tuning)) {
            admission.customer = config.customers.findByKey(credential.key);
        }
        return admission;
    }
    if (credential.kind == Credential::Kind::None) {
        return rejected(AdmissionResult::Unauthorized, "no-key");
    }
    if (credential.kind == Credential::Kind::Malformed) {
        return rejected(AdmissionResult::Unauthorized, "malformed-key");
    }
    if (!isConfirmed(query, tuning)) {
        return rejected(AdmissionResult::Unconfirmed, unconfirmedReason);
    }
    Admission admission;
    admission.customer = config.customers.findByKey(credential.key);
    return admission.customer ? admission : rejected(AdmissionResult::Unauthorized, "unknown-key");
}

} // namespace waxwing
