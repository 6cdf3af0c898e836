#pragma once

#include "include/wire/Messages.h"

#include <nlohmann/json.hpp>

/**
 * Encodes (xOf) and decodes (xFrom) the messages about customers' quotas. The decoders throw nlohmann::json::exception
 * for a message of another form. All are thread safe.
 */
namespace waxwing::wire {

nlohmann::json quotaReportOf(const QuotaReport &m);
QuotaReport quotaReportFrom(const nlohmann::json &in);
nlohmann::json quotaReplyOf(const QuotaReply &m);
QuotaReply quotaReplyFrom(const nlohmann::json &in);
nlohmann::json quotaLoanRequestOf(const QuotaLoanRequest &m);
QuotaLoanRequest quotaLoanRequestFrom(const nlohmann::json &in);

} // namespace waxwing::wire
