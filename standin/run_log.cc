#include "standin/run_log.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace hickoryquay::standin {

void RunLog::Add(RunRecord record) {
  const std::scoped_lock lock(m_mutex);
  m_records.push_back(std::move(record));
}

std::string RunLog::JsonLines() const {
  const std::scoped_lock lock(m_mutex);
  std::string text;
  for (const RunRecord& record : m_records) {
    const boost::json::object line{
        {"at_ms", record.m_at.m_ms},   {"what", record.m_what},   {"where", record.m_where},  {"job", record.m_job},
        {"attempt", record.m_attempt}, {"tasks", record.m_tasks}, {"detail", record.m_detail}};
    text += boost::json::serialize(line) + "\n";
  }
  return text;
}

}  // namespace hickoryquay::standin
