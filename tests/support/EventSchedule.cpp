#include "tests/support/EventSchedule.h"

#include <cassert>

namespace waxwing::testing {

bool EventSchedule::Event::operator<(const Event &other) const
{
    return at != other.at ? at > other.at : order > other.order;
}

EventSchedule::EventSchedule(SteadyTime start)
    : now_(start)
{ }

void EventSchedule::add(SteadyTime when, std::function<void()> action)
{
    assert(when >= now_);
    events_.push(Event{when, nextOrder_++, std::move(action)});
}

void EventSchedule::run(SteadyTime last)
{
    while (!events_.empty() && events_.top().at <= last) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
    }
}

SteadyTime EventSchedule::now() const
{
    return now_;
}

} // namespace waxwing::testing
