#pragma once

#include "include/wire/Messages.h"

#include <nlohmann/json.hpp>

/**
 * Encodes (xOf) and decodes (xFrom) the values that messages consist of. The decoders throw nlohmann::json::exception
 * for a value of another form. All are thread safe.
 */
namespace waxwing::wire {

/** Reason of a reply whose response was removed because of its status code. */
constexpr const char *invalidStatusReason = "invalid-status";

nlohmann::json bytesOf(const std::string &text);
std::string textOf(const nlohmann::json &value);
nlohmann::json requestOf(const HttpRequest &request);
HttpRequest requestFrom(const nlohmann::json &value);
nlohmann::json responseOf(const HttpResponse &response);
HttpResponse responseFrom(const nlohmann::json &value);
/**
 * Removes @p response and sets @p outcome to unknown if the status code is not one of a final response. Builds without
 * this check pass on any number that a server sent; to refuse the whole message would close the link for all requests
 * on it. Returns true if the response was removed.
 */
bool replaceInvalidResponse(HttpResponse &response, Outcome &outcome);
Outcome outcomeFrom(const nlohmann::json &value);
nlohmann::json recordOf(const Record &record);
Record recordFrom(const nlohmann::json &value);
nlohmann::json nameOf(const RecordName &name);
RecordName nameFrom(const nlohmann::json &value);
nlohmann::json refOf(const NodeRef &ref);
NodeRef refFrom(const nlohmann::json &value);
nlohmann::json versionsOf(const KnownVersions &versions);
KnownVersions versionsFrom(const nlohmann::json &value);
nlohmann::json quotaLimitOf(const QuotaLimit &limit);
QuotaLimit quotaLimitFrom(const nlohmann::json &value);
nlohmann::json quotaReturnsOf(const std::vector<QuotaReturn> &returned);
std::vector<QuotaReturn> quotaReturnsFrom(const nlohmann::json &value);
nlohmann::json loadOf(const HomeLoad &load);
HomeLoad loadFrom(const nlohmann::json &value);
nlohmann::json workReplyOf(const WorkReply &m);
WorkReply workReplyFrom(const nlohmann::json &in);
nlohmann::json registryEntryOf(const RegistryEntry &entry);
RegistryEntry registryEntryFrom(const nlohmann::json &value);
nlohmann::json registryChangesOf(const RegistryChanges &changes);
RegistryChanges registryChangesFrom(const nlohmann::json &value);

} // namespace waxwing::wire
