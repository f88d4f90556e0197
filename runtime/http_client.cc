#include "runtime/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <limits>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace godwitpaddle {
namespace {

// Many HTTP servers close a connection after 5 s without a request. A request that meets this close
// has an unknown outcome, so connections that were idle for nearly as long are not used again.
constexpr auto kMaxIdleSeconds = 4L;
constexpr auto kConnectTimeoutMs = 1'000L;
constexpr auto kKeptConnections = 512L;
constexpr Micros kLongestPoll = 60 * kSecond;

void CheckCurl(bool good, const char* what) {
  if (!good) throw std::runtime_error(std::string("libcurl: ") + what);
}

/// Keeps the library initialised while the process runs.
void InitCurl() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  CheckCurl(result == CURLE_OK, "cannot initialise");
}

std::string_view Trim(std::string_view text) {
  const auto blank = [](char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; };
  while (!text.empty() && blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && blank(text.back())) text.remove_suffix(1);
  return text;
}

/// A transfer under way.
struct Running {
  HttpTransfer transfer;
  HttpResult result;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  std::array<char, CURL_ERROR_SIZE> error{};
  int sends = 0;
  bool too_large = false;

  ~Running() {
    curl_slist_free_all(headers);
    if (easy != nullptr) curl_easy_cleanup(easy);
  }
};

std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* context) {
  auto& running = *static_cast<Running*>(context);
  const std::size_t bytes = size * count;
  running.too_large = running.result.body.size() + bytes > running.transfer.max_answer_bytes;
  if (running.too_large) return 0;  // ends the transfer
  running.result.body.append(data, bytes);
  return bytes;
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* context) {
  auto& headers = static_cast<Running*>(context)->result.headers;
  const std::string_view line(data, size * count);
  if (const auto colon = line.find(':'); colon != std::string_view::npos) {
    std::string name(Trim(line.substr(0, colon)));
    std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
    headers[name] = Trim(line.substr(colon + 1));
  }
  return line.size();
}

/// Called on a connection just before the request is written. libcurl repeats a request by itself
/// when a reused connection breaks before the answer; a second call is such a repeat.
int OnSend(void* context, char* /*remote*/, char* /*local*/, int /*remote_port*/,
           int /*local_port*/) {
  return ++static_cast<Running*>(context)->sends == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

void SetMethod(Running& running) {
  CURL* easy = running.easy;
  const HttpTransfer& transfer = running.transfer;
  if (transfer.method == "GET") {
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    return;
  }
  if (transfer.method == "POST" || !transfer.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(transfer.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer.body.data());
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, transfer.method.c_str());
}

void SetHeaders(Running& running) {
  for (const auto& [name, value] : running.transfer.headers) {
    // libcurl writes an empty header only in the form with a semicolon.
    std::string line = name;
    line.append(value.empty() ? ";" : ": ").append(value);
    running.headers = curl_slist_append(running.headers, line.c_str());
  }
  // Without it libcurl delays large bodies for a consent that few servers give.
  running.headers = curl_slist_append(running.headers, "Expect:");
  curl_easy_setopt(running.easy, CURLOPT_HTTPHEADER, running.headers);
}

void SetOptions(Running& running) {
  CURL* easy = running.easy;
  curl_easy_setopt(easy, CURLOPT_URL, running.transfer.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &running);
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, running.error.data());
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(std::max<std::int64_t>(1, running.transfer.timeout_ms)));
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &running);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &running);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &running);
  SetMethod(running);
  SetHeaders(running);
}

void Conclude(Running& running, CURLcode code) {
  HttpResult& result = running.result;
  if (code == CURLE_OK) {
    auto status = 0L;
    curl_easy_getinfo(running.easy, CURLINFO_RESPONSE_CODE, &status);
    result.status = static_cast<int>(status);
    result.end = TransferEnd::kAnswered;
    return;
  }
  result.end = running.sends == 0 ? TransferEnd::kNotSent : TransferEnd::kBroken;
  result.body.clear();
  if (running.too_large) {
    result.error = "the answer is too large";
  } else {
    result.error = running.error[0] != '\0' ? running.error.data() : curl_easy_strerror(code);
  }
}

}  // namespace

struct HttpClient::Impl {
  CURLM* multi = nullptr;
  std::map<CURL*, std::unique_ptr<Running>> running;

  void Begin(HttpTransfer transfer);
  void Serve(Micros until);
  void End(CURL* easy, CURLcode code);
};

void HttpClient::Impl::Begin(HttpTransfer transfer) {
  auto started = std::make_unique<Running>();
  started->transfer = std::move(transfer);
  started->easy = curl_easy_init();
  CheckCurl(started->easy != nullptr, "cannot make a transfer");
  SetOptions(*started);
  CURL* easy = started->easy;
  running.emplace(easy, std::move(started));
  curl_multi_add_handle(multi, easy);
}

void HttpClient::Impl::Serve(Micros until) {
  // Rounded up: a poll that ends before the timer is due would spin.
  const Micros wait = std::clamp<Micros>(until - MonotonicNow(), 0, kLongestPoll);
  curl_multi_poll(multi, nullptr, 0, static_cast<int>((wait + kMillisecond - 1) / kMillisecond),
                  nullptr);
  int active = 0;
  curl_multi_perform(multi, &active);
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi, &left)) {
    if (message->msg == CURLMSG_DONE) End(message->easy_handle, message->data.result);
  }
}

void HttpClient::Impl::End(CURL* easy, CURLcode code) {
  curl_multi_remove_handle(multi, easy);
  const auto found = running.find(easy);
  const std::unique_ptr<Running> ended = std::move(found->second);
  running.erase(found);
  Conclude(*ended, code);
  if (ended->transfer.done) ended->transfer.done(std::move(ended->result));
}

HttpClient::HttpClient() : Task("http-client", 4'096), impl_(std::make_unique<Impl>()) {
  InitCurl();
  impl_->multi = curl_multi_init();
  CheckCurl(impl_->multi != nullptr, "cannot make the set of transfers");
  curl_multi_setopt(impl_->multi, CURLMOPT_MAXCONNECTS, kKeptConnections);
}

HttpClient::~HttpClient() {
  Stop();
  for (const auto& [easy, running] : impl_->running) curl_multi_remove_handle(impl_->multi, easy);
  impl_->running.clear();
  curl_multi_cleanup(impl_->multi);
}

void HttpClient::Handle(HttpTransfer transfer) { impl_->Begin(std::move(transfer)); }

void HttpClient::WaitForWork(Micros until) { impl_->Serve(until); }

void HttpClient::Wake() { curl_multi_wakeup(impl_->multi); }

}  // namespace godwitpaddle
