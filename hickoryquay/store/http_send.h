// HttpSend: the one function of net::HttpClient that the platform's clients use, so that tests can stand in for it.
#pragma once

#include <functional>
#include <memory>

#include "hickoryquay/net/http.h"

namespace hickoryquay::store {

using HttpSend = std::function<void(const net::Endpoint&, net::HttpRequest, Millis timeout, net::ResponseCallback)>;

inline HttpSend MakeHttpSend(std::shared_ptr<net::HttpClient> client) {
  return [client = std::move(client)](const net::Endpoint& to, net::HttpRequest request, Millis timeout,
                                      net::ResponseCallback callback) {
    client->Send(to, std::move(request), timeout, std::move(callback));
  };
}

}  // namespace hickoryquay::store
