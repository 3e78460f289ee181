// ObjectStore: the platform's object store over HTTP. Objects are bytes under a name.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "hickoryquay/net/http.h"
#include "hickoryquay/store/http_send.h"

namespace hickoryquay::store {

// The store refused, or never got the call: nothing was done.
struct ObjectNotDone {
  std::string m_why;
};

// The answer was lost; writing or deleting again is safe.
struct ObjectUnsure {
  std::string m_why;
};

using ObjectError = std::variant<ObjectNotDone, ObjectUnsure>;
using ObjectCallback = std::function<void(Result<std::optional<std::string>, ObjectError>)>;  // Empty: absent.
using ObjectDoneCallback = std::function<void(Result<Done, ObjectError>)>;

struct ObjectStoreSettings {
  net::Endpoint m_endpoint;
  Millis m_timeout{5'000};  // Of one call; the client never retries.
};

// Thread-safe. Callbacks run on the threads of the HTTP client.
class ObjectStore {
 public:
  ObjectStore(HttpSend send, const ObjectStoreSettings& settings);

  void Put(const std::string& name, std::string bytes, ObjectDoneCallback callback) const;
  void Get(const std::string& name, ObjectCallback callback) const;
  void Delete(const std::string& name, ObjectDoneCallback callback) const;  // Of an absent object: done.

 private:
  void Change(net::HttpRequest request, ObjectDoneCallback callback) const;

  HttpSend m_send;
  ObjectStoreSettings m_settings;
};

}  // namespace hickoryquay::store
