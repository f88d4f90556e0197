#include "runtime/http_client.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <limits>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "runtime/file_descriptor.h"

namespace godwitpaddle {
namespace {

constexpr auto kConnectTimeoutMs = 1'000L;
constexpr Micros kLongestPoll = 60 * kSecond;
constexpr std::size_t kEventsAtOnce = 64;

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
  HttpClientOptions options;
  CURLM* multi = nullptr;
  std::map<CURL*, std::unique_ptr<Running>> running;
  // libcurl says which sockets it waits for and until when, so that a wake-up costs only what is
  // ready, however many transfers wait.
  FileDescriptor poll{epoll_create1(EPOLL_CLOEXEC)};
  FileDescriptor wake{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)};
  Micros curl_due = kNever;

  explicit Impl(HttpClientOptions given);
  ~Impl();
  void Begin(HttpTransfer transfer);
  void Serve(Micros until);
  void ServeSocket(int fd, std::uint32_t events);
  void Watch(curl_socket_t fd, int wanted, bool known) const;
  void EndFinished();
  void End(CURL* easy, CURLcode code);
};

HttpClient::Impl::Impl(HttpClientOptions given) : options(given) {
  InitCurl();
  multi = curl_multi_init();
  CheckCurl(multi != nullptr, "cannot make the set of transfers");
  CheckCurl(poll.valid() && wake.valid(), "no descriptor left");
  epoll_event event{.events = EPOLLIN, .data = {.fd = wake.get()}};
  epoll_ctl(poll.get(), EPOLL_CTL_ADD, wake.get(), &event);
  const auto on_socket = +[](CURL*, curl_socket_t fd, int wanted, void* self, void* known) {
    static_cast<Impl*>(self)->Watch(fd, wanted, known != nullptr);
    return 0;
  };
  const auto on_timer = +[](CURLM*, long wait_ms, void* self) {  // NOLINT(google-runtime-int)
    static_cast<Impl*>(self)->curl_due =
        wait_ms < 0 ? kNever : MonotonicNow() + wait_ms * kMillisecond;
    return 0;
  };
  curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, static_cast<long>(options.kept_connections));
  curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(options.connections_per_server));
}

HttpClient::Impl::~Impl() {
  for (const auto& [easy, one] : running) curl_multi_remove_handle(multi, easy);
  running.clear();
  curl_multi_cleanup(multi);
}

void HttpClient::Impl::Begin(HttpTransfer transfer) {
  auto started = std::make_unique<Running>();
  started->transfer = std::move(transfer);
  started->easy = curl_easy_init();
  CheckCurl(started->easy != nullptr, "cannot make a transfer");
  SetOptions(*started);
  curl_easy_setopt(started->easy, CURLOPT_MAXAGE_CONN, static_cast<long>(options.max_idle_s));
  CURL* easy = started->easy;
  running.emplace(easy, std::move(started));
  curl_multi_add_handle(multi, easy);
}

void HttpClient::Impl::Watch(curl_socket_t fd, int wanted, bool known) const {
  if (wanted == CURL_POLL_REMOVE) {
    epoll_ctl(poll.get(), EPOLL_CTL_DEL, fd, nullptr);
    curl_multi_assign(multi, fd, nullptr);
    return;
  }
  epoll_event event{.data = {.fd = fd}};
  if (wanted != CURL_POLL_OUT) event.events |= EPOLLIN;
  if (wanted != CURL_POLL_IN) event.events |= EPOLLOUT;
  const int operation = known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (epoll_ctl(poll.get(), operation, fd, &event) != 0) {
    epoll_ctl(poll.get(), known ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &event);
  }
  curl_multi_assign(multi, fd, multi);  // any value but null: the socket is watched
}

void HttpClient::Impl::ServeSocket(int fd, std::uint32_t events) {
  if (fd == wake.get()) {
    std::uint64_t value = 0;
    [[maybe_unused]] const ssize_t bytes = read(fd, &value, sizeof(value));
    return;
  }
  int ready = 0;
  if ((events & EPOLLIN) != 0) ready |= CURL_CSELECT_IN;
  if ((events & EPOLLOUT) != 0) ready |= CURL_CSELECT_OUT;
  if ((events & (EPOLLERR | EPOLLHUP)) != 0) ready |= CURL_CSELECT_ERR;
  int active = 0;
  curl_multi_socket_action(multi, fd, ready, &active);
}

void HttpClient::Impl::Serve(Micros until) {
  std::array<epoll_event, kEventsAtOnce> events{};
  // Rounded up: a poll that ends before the timer is due would spin.
  const Micros wait =
      std::clamp<Micros>(std::min(until, curl_due) - MonotonicNow(), 0, kLongestPoll);
  const int count = epoll_wait(poll.get(), events.data(), static_cast<int>(events.size()),
                               static_cast<int>((wait + kMillisecond - 1) / kMillisecond));
  for (int i = 0; i < count; ++i) ServeSocket(events.at(i).data.fd, events.at(i).events);
  if (MonotonicNow() >= curl_due) {
    curl_due = kNever;
    int active = 0;
    curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &active);
  }
  EndFinished();
}

void HttpClient::Impl::EndFinished() {
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

HttpClient::HttpClient(HttpClientOptions options)
    : Task("http-client", 4'096), impl_(std::make_unique<Impl>(options)) {}

HttpClient::~HttpClient() { Stop(); }

void HttpClient::Handle(HttpTransfer transfer) { impl_->Begin(std::move(transfer)); }

void HttpClient::WaitForWork(Micros until) { impl_->Serve(until); }

void HttpClient::Wake() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(impl_->wake.get(), &one, sizeof(one));
}

}  // namespace godwitpaddle
