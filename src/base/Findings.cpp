#include "include/base/Findings.h"

#include <utility>

namespace waxwing {

void Findings::add(std::string place, std::string message)
{
    all_.push_back(Finding{std::move(place), std::move(message)});
}

void Findings::addAll(const Findings &other, const std::string &prefix)
{
    for (const Finding &finding : other.all_) {
        all_.push_back(Finding{prefix + finding.place, finding.message});
    }
}

bool Findings::empty() const
{
    return all_.empty();
}

const std::vector<Finding> &Findings::all() const
{
    return all_;
}

std::string Findings::text() const
{
    std::string out;
    for (const Finding &finding : all_) {
        out += finding.place + ": " + finding.message + "\n";
    }
    return out;
}

} // namespace waxwing
