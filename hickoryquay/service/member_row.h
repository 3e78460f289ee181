// The row of an instance in the table of members, which lists the running instances for discovery.
#pragma once

#include <string>
#include <string_view>

#include "hickoryquay/model/json.h"
#include "hickoryquay/peers/membership.h"

namespace hickoryquay::service {

std::string WriteMemberRow(const peers::PeerInfo& member);  // m_leaving is not in the text: who leaves deletes the row.
Parsed<peers::PeerInfo> ReadMemberRow(std::string_view text);

}  // namespace hickoryquay::service
