#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace waxwing {

/**
 * Beast body that asks before it grows. Unlike the library's string body it reserves nothing for an announced length,
 * because a faulty peer may announce any length, unless the owner states how large the text may become.
 */
struct BudgetedBody {
    // Beast requires the names of both types.
    struct value_type { // NOLINT(readability-identifier-naming)
        std::string text;
        /** Called with the number of bytes before each growth; false fails the message with body_limit. */
        std::function<bool(std::uint64_t)> mayGrow;
        /**
         * Largest size of the text; 0: not known. A large text allocates this at once, because one that doubles its
         * capacity is in memory twice while it is copied. Pages that are never written take no memory.
         */
        std::size_t maxBytes = 0;
    };

    /** A text of at least this size is large. */
    static constexpr std::size_t largeBytes = 256UL * 1024;

    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template<bool isRequest, class Fields>
        explicit reader(boost::beast::http::header<isRequest, Fields> &, value_type &value)
            : value_(value)
        { }

        void init(const boost::optional<std::uint64_t> &, boost::beast::error_code &error)
        {
            error = {};
        }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &error)
        {
            const std::size_t size = boost::asio::buffer_size(buffers);
            if (value_.mayGrow && !value_.mayGrow(size)) {
                error = boost::beast::http::error::body_limit;
                return 0;
            }
            error = {};
            if (value_.text.size() + size >= largeBytes && value_.text.capacity() < value_.maxBytes) {
                value_.text.reserve(value_.maxBytes);
            }
            for (auto part = boost::asio::buffer_sequence_begin(buffers);
                 part != boost::asio::buffer_sequence_end(buffers); ++part) {
                value_.text.append(static_cast<const char *>(part->data()), part->size());
            }
            return size;
        }

        void finish(boost::beast::error_code &error)
        {
            error = {};
        }

    private:
        value_type &value_;
    };
};

} // namespace waxwing
