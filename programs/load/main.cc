#include <algorithm>
#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "bench/report.h"
#include "modules/calls/calls.h"
#include "nlohmann/json.hpp"
#include "programs/program.h"
#include "stand_ins/synthetic_response.h"

namespace chicory {
namespace {

using Json = nlohmann::json;

constexpr char kPurpose[] =
    "Sends chat completions and compares every response with the text that\n"
    "the engine stand-in generates for its prompt. Prints one line of\n"
    "key=value pairs.\n\n"
    "  chicory_load --target ip:port --key ACCOUNT.SECRET --model NAME\n"
    "               [--direct] [--stream] [--streams N] [--seconds S]\n"
    "               [--requests N] [--prompt-bytes N] [--answer N]\n\n"
    "Exit codes: 0 all responses were correct, 1 some were incorrect,\n"
    "incomplete or refused, 2 invalid command line.";

/** The command line. */
struct Arguments {
  std::string target;
  std::string key;
  std::string model;
  /** Whether requests go to an engine instead of an entry. */
  bool is_direct = false;
  bool is_streamed = false;
  /** Number of concurrent clients. */
  int streams = 1;
  /** Duration of the run. */
  double seconds = 5;
  /** Maximum number of requests per client. */
  int requests = 1 << 30;
  int prompt_bytes = 200;
  /** Length of each response in tokens. */
  int answer = 16;
  /** Retries per request, after a refusal or an incomplete response. */
  int retries = 0;
};

/** Results of all requests. Thread-safe. */
struct LoadResults {
  absl::Mutex mutex;
  std::vector<double> first_byte_ms ABSL_GUARDED_BY(mutex);
  std::vector<double> total_ms ABSL_GUARDED_BY(mutex);
  std::atomic<int64_t> correct{0};
  std::atomic<int64_t> incorrect{0};
  std::atomic<int64_t> refused{0};
  std::atomic<int64_t> incomplete{0};
  std::atomic<int64_t> tokens{0};
};

/** A response as the client received it. */
struct ReceivedResponse {
  std::string text;
  /** True once the end marker of the response has arrived. */
  bool is_complete = false;
  /** HTTP status; 0 if no response arrived. */
  int status = 0;
  /** Time from the request to the first bytes of the body. */
  absl::Duration first_byte_after = absl::ZeroDuration();
};

/** Splits a stream of bytes into lines. */
class LineSplitter {
 public:
  /** Appends `size` bytes and calls `on_line` for each line that they complete,
      without its line break. */
  template <class LineHandler>
  void Feed(const char* data, size_t size, LineHandler&& on_line) {
    buffer_.append(data, size);
    size_t begin = 0;
    for (size_t end = buffer_.find('\n'); end != std::string::npos;
         end = buffer_.find('\n', begin)) {
      on_line(std::string_view(buffer_).substr(begin, end - begin));
      begin = end + 1;
    }
    buffer_.erase(0, begin);
  }

 private:
  std::string buffer_;
};

void ParseEngineLine(std::string_view line, ReceivedResponse* answer) {
  const Json json = Json::parse(line, nullptr, false);
  if (json.contains("t"))
    answer->text += json["t"].get<std::string>();
  answer->is_complete |= json.value("end", false);
}

void ParseServerSentEventLine(std::string_view line, ReceivedResponse* answer) {
  constexpr std::string_view kData = "data: ";
  if (line.substr(0, kData.size()) != kData)
    return;
  line.remove_prefix(kData.size());
  if (line == "[DONE]") {
    answer->is_complete = true;
    return;
  }
  const Json json = Json::parse(line, nullptr, false);
  if (!json.contains("choices") || json["choices"].empty())
    return;
  const Json& delta = json["choices"][0]["delta"];
  answer->text += delta.value("content", "");
}

/** Sends requests one after another over one connection and checks the
    responses. Each thread has its own. */
class LoadClient {
 public:
  LoadClient(const Arguments& arguments, LoadResults* results)
      : arguments_(arguments), results_(results) {}

  /** Sends requests until the duration or the number of requests is reached.
      `number` tells the prompts of this client from those of others. */
  void Run(int number) {
    CheckedHttpClient client(arguments_.target);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(std::chrono::seconds(120));
    const absl::Time end = absl::Now() + absl::Seconds(arguments_.seconds);
    for (int i = 0; i < arguments_.requests && absl::Now() < end; ++i)
      SendRequest(&client, absl::StrCat(number, "-", i));
  }

 private:
  std::string MakePrompt(const std::string& name) const {
    std::string prompt =
        absl::StrCat("load ", name, " [[answer ", arguments_.answer, "]] ");
    if (prompt.size() < static_cast<size_t>(arguments_.prompt_bytes))
      prompt.resize(static_cast<size_t>(arguments_.prompt_bytes), 'x');
    return prompt;
  }

  /** Sends one request, retries it after a refusal or an incomplete response,
      and records the result. */
  void SendRequest(CheckedHttpClient* client, const std::string& name) {
    const std::string content = MakePrompt(name);
    // The entry forwards the messages to the engine as one prompt text.
    const std::string prompt =
        arguments_.is_direct ? content : absl::StrCat("user: ", content, "\n");
    for (int attempt = 0;; ++attempt) {
      const absl::Time begin = absl::Now();
      const ReceivedResponse answer = arguments_.is_direct
                                          ? SendDirect(client, prompt, name)
                                          : SendChat(client, content);
      if (answer.status == 0 || !answer.is_complete) {
        const bool is_refusal = answer.status >= 400;
        if (attempt < arguments_.retries) {
          absl::SleepFor(absl::Milliseconds(200));
          continue;
        }
        ++(is_refusal ? results_->refused : results_->incomplete);
        return;
      }
      RecordResult(answer, prompt, begin);
      return;
    }
  }

  void RecordResult(const ReceivedResponse& answer,
                    const std::string& prompt,
                    absl::Time begin) {
    if (answer.text != ExpectedResponseText(prompt, arguments_.answer)) {
      ++results_->incorrect;
      return;
    }
    ++results_->correct;
    results_->tokens += arguments_.answer;
    absl::MutexLock lock(&results_->mutex);
    results_->first_byte_ms.push_back(
        absl::ToDoubleMilliseconds(answer.first_byte_after));
    results_->total_ms.push_back(
        absl::ToDoubleMilliseconds(absl::Now() - begin));
  }

  ReceivedResponse SendDirect(CheckedHttpClient* client,
                              const std::string& prompt,
                              const std::string& name) {
    const Json body = {{"attempt", absl::StrCat("load~1~", name)},
                       {"prompt", prompt},
                       {"max_tokens", arguments_.answer}};
    return PostJson(client, "/v1/streams", body, /*is_json_lines=*/true);
  }

  ReceivedResponse SendChat(CheckedHttpClient* client,
                            const std::string& content) {
    const Json body = {
        {"model", arguments_.model},
        {"max_tokens", arguments_.answer},
        {"stream", arguments_.is_streamed},
        {"messages", {{{"role", "user"}, {"content", content}}}}};
    return PostJson(client, "/v1/chat/completions", body,
                    /*is_json_lines=*/false);
  }

  ReceivedResponse PostJson(CheckedHttpClient* client,
                            const char* path,
                            const Json& body,
                            bool is_json_lines) {
    ReceivedResponse answer;
    LineSplitter splitter;
    std::string body_text;
    const absl::Time begin = absl::Now();
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = body.dump();
    request.set_header("Content-Type", "application/json");
    request.set_header("Authorization", "Bearer " + arguments_.key);
    request.response_handler = [&](const httplib::Response& response) {
      answer.status = response.status;
      return true;
    };
    request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                   uint64_t) {
      if (answer.first_byte_after == absl::ZeroDuration())
        answer.first_byte_after = absl::Now() - begin;
      if (!is_json_lines && !arguments_.is_streamed) {
        body_text.append(data, size);
        return true;
      }
      splitter.Feed(data, size, [&](std::string_view line) {
        is_json_lines ? ParseEngineLine(line, &answer)
                      : ParseServerSentEventLine(line, &answer);
      });
      return true;
    };
    const auto result = client->send(request);
    if (!result) {
      answer.is_complete = false;
      return answer;
    }
    if (!is_json_lines && !arguments_.is_streamed && answer.status == 200) {
      const Json json = Json::parse(body_text, nullptr, false);
      if (json.contains("choices")) {
        answer.text = json["choices"][0]["message"].value("content", "");
        answer.is_complete = true;
      }
    }
    return answer;
  }

  const Arguments& arguments_;
  LoadResults* const results_;
};

int Run(int argc, char** argv) {
  cxxopts::Options options("chicory_load", kPurpose);
  Arguments arguments;
  options.add_options()("target", "Address that requests are sent to",
                        cxxopts::value(arguments.target))(
      "key", "API key of a client account", cxxopts::value(arguments.key))(
      "model", "Model to request", cxxopts::value(arguments.model))(
      "direct", "Send to an engine instead of an entry",
      cxxopts::value(arguments.is_direct))(
      "stream", "Request streamed responses",
      cxxopts::value(arguments.is_streamed))("streams", "Concurrent requests",
                                             cxxopts::value(arguments.streams))(
      "seconds", "Duration of the run in seconds",
      cxxopts::value(arguments.seconds))(
      "requests", "Maximum number of requests per stream",
      cxxopts::value(arguments.requests))(
      "prompt-bytes", "Length of a prompt in bytes",
      cxxopts::value(arguments.prompt_bytes))("answer", "Tokens of a response",
                                              cxxopts::value(arguments.answer))(
      "retries", "Retries after a refusal or an incomplete response",
      cxxopts::value(arguments.retries));
  if (const auto code = ParseCommandLine(&options, "chicory_load", argc, argv))
    return *code;
  if (arguments.target.empty()) {
    std::cerr << "chicory_load: --target is missing; see --help\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  LoadResults results;
  const absl::Time begin = absl::Now();
  std::vector<std::thread> threads;
  for (int i = 0; i < arguments.streams; ++i) {
    threads.emplace_back(
        [&arguments, &results, i] { LoadClient(arguments, &results).Run(i); });
  }
  for (std::thread& thread : threads)
    thread.join();
  const double seconds = absl::ToDoubleSeconds(absl::Now() - begin);
  absl::MutexLock lock(&results.mutex);
  std::cout << absl::StrFormat(
      "right=%d wrong=%d refused=%d broken=%d requests_per_second=%.1f "
      "tokens_per_second=%.1f first_p50_ms=%.3f first_p99_ms=%.3f "
      "total_p50_ms=%.3f total_p99_ms=%.3f\n",
      results.correct.load(), results.incorrect.load(), results.refused.load(),
      results.incomplete.load(), results.correct.load() / seconds,
      results.tokens.load() / seconds, Percentile(results.first_byte_ms, 50),
      Percentile(results.first_byte_ms, 99), Percentile(results.total_ms, 50),
      Percentile(results.total_ms, 99));
  const bool all_correct =
      results.incorrect == 0 && results.refused == 0 && results.incomplete == 0;
  return all_correct ? 0 : 1;
}

}  // namespace
}  // namespace chicory

int main(int argc, char** argv) {
  return chicory::Run(argc, argv);
}
