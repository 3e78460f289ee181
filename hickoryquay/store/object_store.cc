#include "hickoryquay/store/object_store.h"

#include <utility>

namespace hickoryquay::store {

namespace {

constexpr int kHttpNotFound = 404;
constexpr int kHttpUnavailable = 503;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

ObjectError ErrorOfStatus(int status) {
  const std::string why = "the object store answered " + std::to_string(status);
  if (status == kHttpUnavailable || status < 500) return ObjectNotDone{why};
  return ObjectUnsure{why};
}

ObjectError FromNet(const net::NetError& error) {
  if (net::MaybeSent(error)) return ObjectUnsure{net::ToString(error)};
  return ObjectNotDone{net::ToString(error)};
}

std::string TargetOf(const std::string& name) {
  return "/objects/" + net::PercentEncode(name);
}

}  // namespace

ObjectStore::ObjectStore(HttpSend send, const ObjectStoreSettings& settings)
    : m_send(std::move(send)), m_settings(settings) {}

void ObjectStore::Put(const std::string& name, std::string bytes, ObjectDoneCallback callback) const {
  Change({"PUT", TargetOf(name), {}, std::move(bytes)}, std::move(callback));
}

void ObjectStore::Delete(const std::string& name, ObjectDoneCallback callback) const {
  Change({"DELETE", TargetOf(name), {}, ""}, std::move(callback));
}

void ObjectStore::Change(net::HttpRequest request, ObjectDoneCallback callback) const {
  const bool deletes = request.m_method == "DELETE";
  m_send(m_settings.m_endpoint, std::move(request), m_settings.m_timeout,
         [deletes, callback = std::move(callback)](const Result<net::HttpResponse, net::NetError>& result) {
           if (!Ok(result)) return callback(FromNet(ErrorOf(result)));
           const int status = ValueOf(result).m_status;
           if (IsSuccess(status) || (deletes && status == kHttpNotFound)) return callback(Done{});
           callback(ErrorOfStatus(status));
         });
}

void ObjectStore::Get(const std::string& name, ObjectCallback callback) const {
  m_send(m_settings.m_endpoint, net::LargeRead(TargetOf(name)), m_settings.m_timeout,
         [callback = std::move(callback)](const Result<net::HttpResponse, net::NetError>& result) {
           if (!Ok(result)) return callback(FromNet(ErrorOf(result)));
           const net::HttpResponse& response = ValueOf(result);
           if (response.m_status == kHttpNotFound) return callback(std::optional<std::string>());
           if (IsSuccess(response.m_status)) return callback(std::optional<std::string>(response.m_body));
           callback(ErrorOfStatus(response.m_status));
         });
}

}  // namespace hickoryquay::store
