#include "src/ctl/IntentFile.h"

#include "include/base/JsonReader.h"
#include "include/intent/ClassIntent.h"

namespace waxwing {

IntentFile parseIntentFile(const std::string &text, const std::string &source, Findings &findings)
{
    IntentFile file;
    const nlohmann::json document = parseJsonWithComments(text, source, findings);
    if (!findings.empty()) {
        return file;
    }
    Findings inside;
    JsonReader reader(document, "", inside);
    const nlohmann::json &services = reader.child("services");
    if (!services.is_object() || services.empty()) {
        inside.add("/services", "must be an object with at least one service");
    }
    reader.rejectUnknown();
    const nlohmann::json listed = services.is_object() ? services : nlohmann::json::object();
    for (const auto &item : listed.items()) {
        Findings ofService;
        IntentDocument one;
        one.intents = item.value();
        if (one.intents.is_object() && one.intents.contains("revision")) {
            const nlohmann::json &revision = one.intents["revision"];
            if (revision.is_number_unsigned()) {
                one.revision = revision.get<std::uint64_t>();
            } else {
                ofService.add("/revision", "must be a whole number");
            }
            one.intents.erase("revision");
        }
        parseServiceIntent(item.key(), one.intents, ofService);
        inside.addAll(ofService, "/services/" + item.key());
        file[item.key()] = std::move(one);
    }
    findings.addAll(inside, source + " ");
    return file;
}

std::string describeChange(const nlohmann::json &from, const nlohmann::json &to)
{
    std::string out;
    for (const nlohmann::json &step : nlohmann::json::diff(from, to)) {
        const std::string path = step.at("path").get<std::string>();
        const std::string operation = step.at("op").get<std::string>();
        const nlohmann::json::json_pointer pointer(path);
        const std::string before = operation == "add" ? "(none)" : from.at(pointer).dump();
        const std::string after = operation == "remove" ? "(none)" : step.at("value").dump();
        out.append("  ").append(path).append(": ").append(before).append(" -> ").append(after).append("\n");
    }
    return out;
}

} // namespace waxwing
