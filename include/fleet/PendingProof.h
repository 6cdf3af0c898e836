#pragma once

#include "include/base/Clock.h"

#include <cstdint>
#include <optional>

namespace waxwing {

/**
 * Keeps one proof that nothing newer than a version existed at some time, until that version or a later one is in
 * force. Not thread safe.
 */
class PendingProof
{
public:
    /**
     * Adds a proof that nothing newer than @p version existed at @p provenAt. Keeps the proof with the latest time, and
     * of several with this time that of the lowest version, whatever the order of the calls: a proof of a version also
     * holds for all higher ones. @pre @p version is above the one in force.
     */
    void add(std::uint64_t version, SteadyTime provenAt);
    /** Removes the proof and returns its time if @p versionInForce has reached its version; otherwise nothing. */
    std::optional<SteadyTime> take(std::uint64_t versionInForce);

private:
    struct Proof {
        std::uint64_t version = 0;
        SteadyTime provenAt;
    };

    std::optional<Proof> proof_;
};

} // namespace waxwing
