#include "include/base/Body.h"

namespace waxwing {

Body::Body(std::string text)
    : Body(std::move(text), nullptr)
{ }

Body::Body(const char *text)
    : Body(std::string(text))
{ }

Body::Body(std::string text, std::shared_ptr<const void> charge)
    : storage_(text.empty() ? nullptr : std::make_shared<const Storage>(Storage{std::move(text), std::move(charge)}))
{ }

const std::string &Body::text() const
{
    static const std::string none;
    return storage_ ? storage_->text : none;
}

Body::operator const std::string &() const
{
    return text();
}

std::string::const_iterator Body::begin() const
{
    return text().begin();
}

std::string::const_iterator Body::end() const
{
    return text().end();
}

std::size_t Body::size() const
{
    return text().size();
}

bool Body::empty() const
{
    return text().empty();
}

void Body::clear()
{
    storage_.reset();
}

bool operator==(const Body &a, const Body &b)
{
    return a.text() == b.text();
}

bool operator!=(const Body &a, const Body &b)
{
    return !(a == b);
}

} // namespace waxwing
