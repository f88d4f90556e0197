#include "tests/load_trace.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace godwitpaddle::testing {
namespace {

jobs::Step ParseStep(const std::string& text) {
  jobs::Step step;
  int length = 0;
  const int read = std::sscanf(text.c_str(), "%ux%ldc/%ldm/%ldms%n", &step.count, &step.size.cpu,
                               &step.size.memory_mb, &step.estimate_ms, &length);
  if (read != 4) throw std::runtime_error("invalid step: " + text);
  std::istringstream rest(text.substr(static_cast<std::size_t>(length)));
  for (char mark = 0; rest >> mark;) {
    std::uint32_t before = 0;
    if (mark == '*') {
      step.long_running = true;
    } else if (mark == '<' && rest >> before) {
      step.depends_on.push_back(before);
    } else {
      throw std::runtime_error("invalid step: " + text);
    }
  }
  return step;
}

RecordedJob ParseJob(const std::string& line) {
  std::istringstream words(line);
  RecordedJob job;
  std::string steps;
  if (!(words >> job.at_ms >> job.queue >> steps)) throw std::runtime_error("invalid job: " + line);
  std::istringstream list(steps);
  for (std::string one; std::getline(list, one, ',');) job.steps.push_back(ParseStep(one));
  return job;
}

}  // namespace

std::vector<RecordedJob> ReadLoad(const std::string& name) {
  const std::string path = std::string(GODWITPADDLE_LOADS) + "/" + name;
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  std::vector<RecordedJob> load;
  for (std::string line; std::getline(file, line);) {
    if (!line.empty() && line[0] != '#') load.push_back(ParseJob(line));
  }
  return load;
}

std::vector<RecordedJob> JobsOfQueue(const std::vector<RecordedJob>& load,
                                     const std::string& queue) {
  std::vector<RecordedJob> own;
  std::ranges::copy_if(load, std::back_inserter(own),
                       [&](const RecordedJob& job) { return job.queue == queue; });
  return own;
}

}  // namespace godwitpaddle::testing
