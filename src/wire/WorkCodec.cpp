#include "src/wire/WorkCodec.h"

#include "src/wire/FieldCodec.h"
#include "src/wire/MessageFrame.h"

namespace waxwing::wire {

using nlohmann::json;

json workOf(const Work &m)
{
    json out =
        makeMessage(MessageType::Work, m.id, bytesOf(m.requestId), m.service, m.route, m.idempotent, m.retryable,
                    m.acceptsGray, m.priority, m.remaining.count(), m.untilObjective.count(), m.queueTimeout.count(),
                    m.helloAge.count(), versionsOf(m.versions), requestOf(m.request), m.keyChecked);
    if (m.reservation != 0) {
        out.push_back(m.reservation);
    }
    return out;
}

Work workFrom(const json &in)
{
    Work m;
    m.id = in.at(firstField).get<std::uint64_t>();
    m.requestId = textOf(in.at(firstField + 1));
    m.service = in.at(firstField + 2).get<std::string>();
    m.route = in.at(firstField + 3).get<std::string>();
    m.idempotent = in.at(firstField + 4).get<bool>();
    m.retryable = in.at(firstField + 5).get<bool>();
    m.acceptsGray = in.at(firstField + 6).get<bool>();
    m.priority = in.at(firstField + 7).get<std::uint8_t>();
    m.remaining = Millis(in.at(firstField + 8).get<std::int64_t>());
    m.untilObjective = Millis(in.at(firstField + 9).get<std::int64_t>());
    m.queueTimeout = Millis(in.at(firstField + 10).get<std::int64_t>());
    m.helloAge = Millis(in.at(firstField + 11).get<std::int64_t>());
    m.versions = versionsFrom(in.at(firstField + 12));
    m.request = requestFrom(in.at(firstField + 13));
    m.keyChecked = optionalField(in, 14).is_boolean() && optionalField(in, 14).get<bool>();
    m.reservation = optionalField(in, 15).is_number_unsigned() ? optionalField(in, 15).get<std::uint64_t>() : 0;
    return m;
}

json fenceOf(const Fence &m)
{
    return makeMessage(MessageType::Fence, m.id, refOf(m.target), refOf(m.origin), m.workId, m.queryOnly,
                       m.includeLargeReply, m.workAge.count());
}

Fence fenceFrom(const json &in)
{
    Fence m;
    m.id = in.at(firstField).get<std::uint64_t>();
    m.target = refFrom(in.at(firstField + 1));
    m.origin = refFrom(in.at(firstField + 2));
    m.workId = in.at(firstField + 3).get<std::uint64_t>();
    m.queryOnly = in.at(firstField + 4).get<bool>();
    m.includeLargeReply = in.at(firstField + 5).get<bool>();
    m.workAge = Millis(in.at(firstField + 6).get<std::int64_t>());
    return m;
}

json fenceReplyOf(const FenceReply &m)
{
    return makeMessage(MessageType::FenceReply, m.id, static_cast<int>(m.state),
                       m.reply ? workReplyOf(*m.reply) : json());
}

FenceReply fenceReplyFrom(const json &in)
{
    FenceReply m;
    m.id = in.at(firstField).get<std::uint64_t>();
    const int state = in.at(firstField + 1).get<int>();
    if (state < static_cast<int>(FenceState::NeverRuns) || state > static_cast<int>(FenceState::NotKnown)) {
        throw json::other_error::create(501, "unknown fence state", &in);
    }
    m.state = static_cast<FenceState>(state);
    if (!in.at(firstField + 2).is_null()) {
        m.reply = workReplyFrom(in.at(firstField + 2));
    }
    return m;
}

} // namespace waxwing::wire
