#pragma once

#include "include/wire/Messages.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <utility>

/** The form that all messages have: an array of protocol version, type and the fields of the type. */
namespace waxwing::wire {

/** Number of a message's type. Later builds add types at the end. */
enum class MessageType : int {
    Hello = 1,
    Exec,
    ExecReply,
    Cancel,
    RecordsPush,
    DigestOffer,
    BucketNames,
    Ping,
    Pong,
    ClaimHandover,
    RecordNames,
    Work,
    WorkAck,
    WorkReply,
    Fence,
    FenceReply,
    StateUpdateRequest,
    StateUpdate,
    BudgetTransferRequest,
    BudgetTransferReply,
    PathSuspicion,
    QuotaReport,
    QuotaReply,
    QuotaLoanRequest,
    QuotaLoanReply,
    SlotReserve,
    SlotOffer,
    SlotRelease,
    HomeReports,
};

/** Position of the first field of a message's contents. Positions 0 and 1 hold the protocol version and the type. */
constexpr std::size_t firstField = 2;

/** Returns a message of @p type with these fields. Thread safe. */
template<typename... Fields>
nlohmann::json makeMessage(MessageType type, Fields &&...fields)
{
    nlohmann::json out = nlohmann::json::array({wireVersion, static_cast<int>(type)});
    (out.push_back(std::forward<Fields>(fields)), ...);
    return out;
}

/**
 * Returns a field that earlier builds do not send; null if it is missing. @p field counts from the first field of the
 * contents. Thread safe.
 */
inline const nlohmann::json &optionalField(const nlohmann::json &in, std::size_t field)
{
    static const nlohmann::json missing;
    return in.size() > firstField + field ? in.at(firstField + field) : missing;
}

} // namespace waxwing::wire
