#include "decision/config_position.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <vector>

namespace godwitpaddle::detail {
namespace {

using nlohmann::json;

/// Input iterator that counts the lines that have been read. Copies share the counter, since the
/// parser copies its iterators.
class LineIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  LineIterator(const char* at, int* lines) : at_(at), lines_(lines) {}
  reference operator*() const { return *at_; }
  LineIterator& operator++() {
    if (*at_ == '\n') ++*lines_;
    ++at_;
    return *this;
  }
  bool operator==(const LineIterator& other) const { return at_ == other.at_; }
  bool operator!=(const LineIterator& other) const { return at_ != other.at_; }

 private:
  const char* at_;
  int* lines_;
};

/// Tracks the path of the current key while a text is parsed, and records the line of the last key
/// at the target path. A list adds one path element with an empty name.
class PathHandler : public nlohmann::json_sax<json> {
 public:
  PathHandler(std::string target_path, const int* lines)
      : target_path_(std::move(target_path)), lines_(lines) {}
  int line() const { return line_; }

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override {
    steps_.emplace_back();
    return true;
  }
  bool end_object() override {
    steps_.pop_back();
    return true;
  }
  bool start_array(std::size_t) override { return start_object(0); }
  bool end_array() override { return end_object(); }
  bool key(string_t& name) override {
    steps_.back() = name;
    // Building a JSON pointer is slow, and most keys already differ in the last path element.
    if (!target_path_.ends_with(name) && name.find_first_of("~/") == std::string::npos) return true;
    json::json_pointer path;
    for (const std::string& step : steps_) path /= step;
    if (path.to_string() == target_path_) line_ = *lines_;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const json::exception&) override {
    return false;
  }

 private:
  std::string target_path_;
  const int* lines_;
  std::vector<std::string> steps_;
  int line_ = 0;
};

}  // namespace

int LineOfByte(const std::string& text, std::size_t byte) {
  const std::size_t end = std::min(byte == 0 ? 0 : byte - 1, text.size());
  return 1 + static_cast<int>(
                 std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n'));
}

int LineOfPath(const std::string& text, const std::string& path) {
  int lines = 1;
  PathHandler handler(path, &lines);
  const LineIterator begin(text.data(), &lines);
  const LineIterator end(text.data() + text.size(), &lines);
  json::sax_parse(begin, end, &handler, json::input_format_t::json, true, true);
  return handler.line();
}

std::string StripErrorPrefix(const std::string& message) {
  const std::size_t tag = message.find("] ");
  return tag == std::string::npos ? message : message.substr(tag + 2);
}

}  // namespace godwitpaddle::detail
