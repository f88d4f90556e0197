#include "ctl/client.h"

#include <sodium.h>

#include <array>
#include <chrono>
#include <thread>
#include <utility>

#include "ctl/errors.h"

namespace godwitpaddle::ctl {
namespace {

using Clock = std::chrono::steady_clock;

constexpr long kConnectTimeoutMs = 1'000;  // NOLINT(google-runtime-int): libcurl's type
// Longer than a change of leader, so that the daemon can answer a proposal in progress and the call
// is not repeated.
constexpr long kAttemptTimeoutMs = 5'000;  // NOLINT(google-runtime-int): libcurl's type
constexpr std::chrono::milliseconds kRetryDelay{200};
constexpr std::size_t kMaxAnswerBytes = 64U << 20U;

std::size_t Append(char* data, std::size_t size, std::size_t count, void* target) {
  auto& text = *static_cast<std::string*>(target);
  if (text.size() + size * count > kMaxAnswerBytes) return 0;
  text.append(data, size * count);
  return size * count;
}

Json ParseBody(const std::string& text) {
  Json body = Json::parse(text, nullptr, false);
  return body.is_discarded() ? Json{{"message", text.substr(0, 500)}} : body;
}

}  // namespace

AdminClient::AdminClient(Settings settings)
    : settings_(std::move(settings)), curl_(curl_easy_init(), curl_easy_cleanup) {
  if (!curl_) throw std::runtime_error("cannot initialise libcurl");
  if (settings_.addresses.empty()) {
    throw CommandError(kExitUsage, "no daemon address: set --address or GODWITCTL_ADDRESS");
  }
}

Answer AdminClient::Send(const std::string& method, const std::string& path, const Json& body) {
  const std::string text = body.is_null() ? "" : body.dump();
  const auto deadline = Clock::now() + std::chrono::seconds(settings_.timeout_s);
  Answer last;
  while (true) {
    Answer answer = SendOnce(method, path, text);
    // 503: the daemon cannot serve the call now. 504: it got no answer from a leader in time.
    if (answer.status != 0 && answer.status != 503 && answer.status != 504) return answer;
    if (answer.status != 0) last = std::move(answer);
    next_address_ = (next_address_ + 1) % settings_.addresses.size();
    if (Clock::now() + kRetryDelay >= deadline) break;
    if (next_address_ == 0) std::this_thread::sleep_for(kRetryDelay);
  }
  if (last.status != 0) return last;
  throw CommandError(kExitUnreachable, "no daemon answered: " + last_error_);
}

Json AdminClient::Call(const std::string& method, const std::string& path, const Json& body) {
  Answer answer = Send(method, path, body);
  if (answer.status != 200) throw CommandError(kExitRefused, DescribeRefusal(answer));
  return std::move(answer.body);
}

std::string AdminClient::Escape(const std::string& part) const {
  const std::unique_ptr<char, void (*)(void*)> escaped(
      curl_easy_escape(curl_.get(), part.data(), static_cast<int>(part.size())), curl_free);
  return escaped.get();
}

Answer AdminClient::SendOnce(const std::string& method, const std::string& path,
                             const std::string& body) {
  CURL* curl = curl_.get();
  curl_easy_reset(curl);
  const std::string& address = settings_.addresses[next_address_];
  const std::string url = "http://" + address + "/v1/admin/" + path;
  const std::string authorization = "Authorization: Bearer " + settings_.key;
  curl_slist* headers = curl_slist_append(nullptr, "Content-Type: application/json");
  if (!settings_.key.empty()) headers = curl_slist_append(headers, authorization.c_str());
  std::string text;
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, kAttemptTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, Append);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &text);
  if (method != "GET") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));  // NOLINT
  }
  const CURLcode code = curl_easy_perform(curl);
  curl_slist_free_all(headers);
  if (code != CURLE_OK) {
    last_error_ = address + ": " + curl_easy_strerror(code);
    return {};
  }
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  return {.status = static_cast<int>(status), .body = ParseBody(text)};
}

std::string NewChangeId() {
  std::array<unsigned char, 16> bytes{};
  std::array<char, 2 * bytes.size() + 1> hex{};
  randombytes_buf(bytes.data(), bytes.size());
  sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
  return hex.data();
}

std::string DescribeRefusal(const Answer& answer) {
  std::string text = answer.body.value("error", "error " + std::to_string(answer.status));
  const std::string message = answer.body.value("message", "");
  if (!message.empty()) text += ": " + message;
  for (const Json& error : answer.body.value("errors", Json::array())) {
    text += "\n  " + error.value("file", "") + ":" + std::to_string(error.value("line", 0)) + ": " +
            error.value("path", "") + ": " + error.value("reason", "");
  }
  return text;
}

}  // namespace godwitpaddle::ctl
