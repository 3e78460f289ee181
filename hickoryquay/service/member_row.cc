#include "hickoryquay/service/member_row.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "hickoryquay/model/field_reader.h"

namespace hickoryquay::service {

namespace {

constexpr double kMostFitness = 1e9;

}  // namespace

std::string WriteMemberRow(const peers::PeerInfo& member) {
  return boost::json::serialize(boost::json::object{{"instance", member.m_id.m_value},
                                                    {"domain", member.m_domain.m_value},
                                                    {"inner", net::ToString(member.m_inner)},
                                                    {"fitness", member.m_fitness}});
}

Parsed<peers::PeerInfo> ReadMemberRow(std::string_view text) {
  const auto value = ParseJson(text);
  if (!Ok(value)) return ErrorOf(value);
  FieldReader reader(ValueOf(value));
  peers::PeerInfo member;
  std::string inner;
  reader.Read("instance", &member.m_id);
  reader.Read("domain", &member.m_domain);
  reader.Read("inner", &inner);
  reader.Read("fitness", &member.m_fitness, 0.0, kMostFitness, FieldReader::Need::kOptional);
  if (reader.Failed()) return reader.Error();
  const auto address = net::ParseEndpoint(inner);
  if (!Ok(address)) return FieldError{"inner", "expected an address"};
  member.m_inner = ValueOf(address);
  return member;
}

}  // namespace hickoryquay::service
