#pragma once

#include "include/wire/Messages.h"

#include <nlohmann/json.hpp>

/**
 * Encodes and decodes the contents of the messages about slot reservations. The decoders throw
 * nlohmann::json::exception for contents of another form. All are thread safe.
 */
namespace waxwing::wire {

nlohmann::json slotReserveOf(const SlotReserve &m);
SlotReserve slotReserveFrom(const nlohmann::json &in);
nlohmann::json slotOfferOf(const SlotOffer &m);
SlotOffer slotOfferFrom(const nlohmann::json &in);
nlohmann::json homeReportsOf(const HomeReports &m);
HomeReports homeReportsFrom(const nlohmann::json &in);

} // namespace waxwing::wire
