// The platform's object API as a client: HTTP with JSON.
//
//   GET    /v1/objects                         all objects
//   GET    /v1/objects?since=N&wait_ms=M       those changed after N, waiting for some
//   PUT    /v1/objects/NAME?expected=VERSION   conditional write; 409 with the present
//   object DELETE /v1/objects/NAME?expected=VERSION
//
// Whatever is not a clear yes or a clear conflict is store_no_answer.
#ifndef BUCKTHORNUSHER_CONNECTION_STORE_CLIENT_HPP
#define BUCKTHORNUSHER_CONNECTION_STORE_CLIENT_HPP

#include "buckthornusher/record.hpp"
#include "buckthornusher/time.hpp"
#include "connection/http_client.hpp"

#include <functional>

namespace buckthornusher
{

class store_client
{
public:
    using callback = std::function<void(store_answer)>;

    struct options
    {
        std::string address;
        int port = 0;
        duration call_timeout = 1s;
        duration watch_wait = 20s; // how long the store holds a watch without changes
    };

    store_client(event_loop& loop, options const& opts);

    void call(store_operation const& operation, callback done);

private:
    options m_options;
    http_client m_http;
};

} // namespace buckthornusher

#endif
