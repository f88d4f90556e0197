#include <time.h>

#include <cstdio>
#include <cstdlib>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "runtime/http_client.h"
#include "runtime/http_server.h"

// Measures the processor time per small call of the HTTP client's task, over persistent
// connections. Usage: http_calls [CALLS] [AT_ONCE], where AT_ONCE is the number of concurrent
// calls.
namespace {

using namespace godwitpaddle;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kServers = 8;

double ThreadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Sends the next call whenever one completes, which keeps the number of calls in flight constant
/// until none are left to send. Once the client runs, only its task accesses the members.
struct Load {
  HttpClient client;
  std::vector<std::string> urls;
  int to_send = 0;
  int in_flight = 0;
  int failed = 0;
  std::promise<double> cpu_seconds;

  void Send() {
    --to_send;
    ++in_flight;
    client.mailbox().ForcePush(
        {.method = "POST",
         .url = urls[static_cast<std::size_t>(to_send) % urls.size()] + "/run",
         .headers = {{"Content-Type", "application/json"}, {"X-Worker", "w-0123456789"}},
         .body = R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"text":"sleep","until":486000})",
         .timeout_ms = 5'000,
         .done = [this](const HttpResult& result) { Done(result); }});
  }

  void Done(const HttpResult& result) {
    --in_flight;
    if (result.end != TransferEnd::kAnswered) ++failed;
    if (to_send > 0) return Send();
    if (in_flight == 0) cpu_seconds.set_value(ThreadCpuSeconds());
  }
};

}  // namespace

int main(int argc, char** argv) {
  const int calls = argc > 1 ? std::atoi(argv[1]) : 20'000;
  const int at_once = argc > 2 ? std::atoi(argv[2]) : 16;
  const auto answer = [](const HttpEvent& /*request*/) {
    return std::optional(
        RespondEffect{.content_type = "application/json", .body = R"({"clock":482113})"});
  };
  std::vector<std::unique_ptr<HttpServer>> servers;
  Load load;
  load.to_send = calls;
  for (std::size_t i = 0; i < kServers; ++i) {
    servers.push_back(
        std::make_unique<HttpServer>(HttpServerOptions{.address = "127.0.0.1:0"},
                                     HttpServer::Handlers{.respond_locally = answer}));
    load.urls.push_back("http://127.0.0.1:" + std::to_string(servers.back()->port()));
  }
  for (int i = 0; i < at_once; ++i) load.Send();
  load.client.Start();
  const double used = load.cpu_seconds.get_future().get();
  load.client.Stop();
  std::printf("calls=%d failed=%d client_cpu_us_per_call=%.1f\n", calls, load.failed,
              used * 1e6 / calls);
  return load.failed == 0 ? 0 : 1;
}
