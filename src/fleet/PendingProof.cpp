#include "include/fleet/PendingProof.h"

namespace waxwing {

void PendingProof::add(std::uint64_t version, SteadyTime provenAt)
{
    const bool later = proof_ && provenAt > proof_->provenAt;
    const bool sameTimeEarlierVersion = proof_ && provenAt == proof_->provenAt && version < proof_->version;
    if (!proof_ || later || sameTimeEarlierVersion) {
        proof_ = Proof{version, provenAt};
    }
}

std::optional<SteadyTime> PendingProof::take(std::uint64_t versionInForce)
{
    if (!proof_ || proof_->version > versionInForce) {
        return std::nullopt;
    }
    const SteadyTime provenAt = proof_->provenAt;
    proof_.reset();
    return provenAt;
}

} // namespace waxwing
