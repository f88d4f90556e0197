#include "tests/standins/backend_records.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace godwitpaddle::standins {
namespace {

nlohmann::json ToJson(const StartRecord& record) {
  return {{"task_id", record.task},
          {"request_id", record.request},
          {"server", record.server},
          {"incarnation", record.incarnation},
          {"started_ms", record.started},
          {"ended_ms", record.ended},
          {"end", record.end}};
}

}  // namespace

BackendRecords::BackendRecords(const std::string& file) {
  if (!file.empty()) file_.open(file, std::ios::app);
}

std::size_t BackendRecords::AddStart(StartRecord record) {
  starts_.push_back(std::move(record));
  Append(starts_.back());
  return starts_.size() - 1;
}

void BackendRecords::RecordEnd(std::size_t index, const std::string& end, WallMs wall) {
  StartRecord& record = starts_.at(index);
  record.end = end;
  record.ended = wall;
  Append(record);
}

void BackendRecords::Append(const StartRecord& record) {
  if (file_.is_open()) file_ << ToJson(record).dump() << std::endl;
}

std::string BackendRecords::Report(bool with_starts) const {
  std::map<std::string, std::size_t> ends;
  std::map<std::string, std::size_t> per_request;
  for (const StartRecord& record : starts_) {
    ++ends[record.end.empty() ? "running" : record.end];
    ++per_request[record.request];
  }
  std::size_t repeated = 0;
  for (const auto& [request, count] : per_request) repeated += count > 1 ? 1 : 0;
  nlohmann::json json = {{"started", starts_.size()},      {"ends", ends},
                         {"requests", per_request.size()}, {"requests_started_twice", repeated},
                         {"violations", violations_},      {"refusals", refusals_}};
  if (with_starts) {
    json["starts"] = nlohmann::json::array();
    for (const StartRecord& record : starts_) json["starts"].push_back(ToJson(record));
  }
  return json.dump() + "\n";
}

}  // namespace godwitpaddle::standins
