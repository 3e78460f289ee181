// JSON of the model: the form of table rows, admin API bodies and state dumps. Parsing names the field that is wrong.
#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

#include "hickoryquay/base/result.h"
#include "hickoryquay/model/model.h"

namespace hickoryquay {

struct FieldError {
  std::string m_field;    // Path of the field, such as "shape.tasks".
  std::string m_message;  // What was expected.
};

template <typename T>
using Parsed = Result<T, FieldError>;

// The text is parsed as one JSON value; m_field of the error is empty where it is none.
Parsed<boost::json::value> ParseJson(std::string_view text);

boost::json::value ToJson(const Resources& resources);
boost::json::value ToJson(const GangShape& shape);
boost::json::value ToJson(const Market& market);  // Without the version, which the table keeps.
boost::json::value ToJson(const JobSpec& spec);
boost::json::value ToJson(const Job& job);
boost::json::value ToJson(const Worker& worker);

Parsed<Market> ParseMarket(const boost::json::value& json);
Parsed<JobSpec> ParseJobSpec(const boost::json::value& json);
Parsed<Job> ParseJob(const boost::json::value& json);
Parsed<Worker> ParseWorker(const boost::json::value& json);

}  // namespace hickoryquay
