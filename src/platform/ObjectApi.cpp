#include "src/platform/ObjectApi.h"

#include "src/http/HttpClient.h"

#include <nlohmann/json.hpp>

namespace waxwing {

namespace {

using nlohmann::json;

constexpr Millis callTimeout{2000};
constexpr unsigned httpOk = 200;
constexpr unsigned httpNotFound = 404;
constexpr unsigned httpConflict = 409;

StoredObject objectFrom(const json &value)
{
    StoredObject object;
    object.kind = value.at("kind").get<std::string>();
    object.name = value.at("name").get<std::string>();
    object.version = value.at("version").get<std::uint64_t>();
    object.deleted = value.value("deleted", false);
    object.value = object.deleted ? "" : value.at("value").dump();
    return object;
}

std::string path(const std::string &kind, const std::string &name)
{
    return "/v1/objects/" + kind + "/" + name;
}

tl::unexpected<Error> failed(const ExchangeError &error)
{
    const bool late = error.failure == ExchangeFailure::Timeout;
    return fail(late ? ErrorCode::Timeout : ErrorCode::Unavailable,
                std::string("object API: ") + exchangeFailureName(error.failure));
}

} // namespace

ObjectApi::ObjectApi(HttpClient &client, Endpoint endpoint)
    : client_(client)
    , endpoint_(std::move(endpoint))
{ }

Expected<std::optional<StoredObject>> ObjectApi::read(const std::string &kind, const std::string &name)
{
    const auto answer = client_.exchange(endpoint_, HttpRequest{"GET", path(kind, name), {}, {}}, callTimeout);
    if (!answer) {
        return failed(answer.error());
    }
    if (answer->status == httpNotFound) {
        return std::optional<StoredObject>();
    }
    if (answer->status != httpOk) {
        return fail(ErrorCode::Unavailable, "object API answered " + std::to_string(answer->status));
    }
    try {
        return std::optional<StoredObject>(objectFrom(json::parse(answer->body)));
    } catch (const json::exception &error) {
        return fail(ErrorCode::Malformed, std::string("object API: ") + error.what());
    }
}

Expected<ObjectChanges> ObjectApi::changes(const std::string &target, Duration allowed)
{
    const auto answer = client_.exchange(endpoint_, HttpRequest{"GET", target, {}, {}}, allowed);
    if (!answer) {
        return failed(answer.error());
    }
    if (answer->status != httpOk) {
        return fail(ErrorCode::Unavailable, "object API answered " + std::to_string(answer->status));
    }
    try {
        const json body = json::parse(answer->body);
        ObjectChanges out;
        out.revision = body.at("revision").get<std::uint64_t>();
        out.complete = body.value("complete", false);
        for (const json &one : body.at("objects")) {
            out.objects.push_back(objectFrom(one));
        }
        return out;
    } catch (const json::exception &error) {
        return fail(ErrorCode::Malformed, std::string("object API: ") + error.what());
    }
}

Expected<ObjectChanges> ObjectApi::list(const std::string &kind)
{
    return changes("/v1/objects/" + kind, callTimeout);
}

Expected<ObjectChanges> ObjectApi::watch(const std::string &kind, std::uint64_t since, Millis wait)
{
    return changes("/v1/objects/" + kind + "?since=" + std::to_string(since)
                       + "&waitMs=" + std::to_string(wait.count()),
                   wait + callTimeout);
}

UpdateResult ObjectApi::change(const std::string &method, const std::string &target, const std::string &body)
{
    const auto answer = client_.exchange(endpoint_, HttpRequest{method, target, {}, body}, callTimeout);
    UpdateResult result;
    if (!answer) {
        result.kind = answer.error().mayHaveSentBytes ? UpdateResult::Kind::Unknown : UpdateResult::Kind::NotStored;
        result.message = exchangeFailureName(answer.error().failure);
        return result;
    }
    try {
        if (answer->status == httpOk) {
            result.kind = UpdateResult::Kind::Stored;
            result.version = json::parse(answer->body).at("version").get<std::uint64_t>();
        } else if (answer->status == httpConflict) {
            result.kind = UpdateResult::Kind::Conflict;
            const json current = json::parse(answer->body).at("current");
            if (!current.is_null()) {
                result.current = objectFrom(current);
            }
        } else {
            result.kind = UpdateResult::Kind::NotStored;
            result.message = "object API answered " + std::to_string(answer->status);
        }
    } catch (const json::exception &error) {
        result.kind = UpdateResult::Kind::Unknown;
        result.message = error.what();
    }
    return result;
}

UpdateResult ObjectApi::update(const std::string &kind, const std::string &name, std::uint64_t expected,
                               const std::string &value)
{
    const std::string body = "{\"version\":" + std::to_string(expected) + ",\"value\":" + value + "}";
    return change("PUT", path(kind, name), body);
}

UpdateResult ObjectApi::remove(const std::string &kind, const std::string &name, std::uint64_t expected)
{
    return change("DELETE", path(kind, name) + "?version=" + std::to_string(expected), {});
}

} // namespace waxwing
