#include <httplib.h>

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
#include "nlohmann/json.hpp"
#include "programs/program.h"
#include "stand_ins/synthetic_response.h"

namespace chicory {
namespace {

using Json = nlohmann::json;

constexpr char kPurpose[] =
    "Sends chat completions and compares every answer with what the engine\n"
    "stand-in must have said. Prints one line of key=value pairs.\n\n"
    "  chicory_load --target ip:port --key ACCOUNT.SECRET --model NAME\n"
    "               [--direct] [--stream] [--streams N] [--seconds S]\n"
    "               [--requests N] [--prompt-bytes N] [--answer N]\n\n"
    "Exit codes: 0 every answer was right, 1 some were wrong, cut or lost,\n"
    "2 wrong usage.";

struct Arguments {
  std::string target;
  std::string key;
  std::string model;
  bool is_direct = false;
  bool is_streamed = false;
  int streams = 1;
  double seconds = 5;
  int requests = 1 << 30;
  int prompt_bytes = 200;
  int answer = 16;
  int retries = 0;
};

/** What came of all requests. */
struct Totals {
  absl::Mutex mutex;
  std::vector<double> first_ms ABSL_GUARDED_BY(mutex);
  std::vector<double> total_ms ABSL_GUARDED_BY(mutex);
  std::atomic<int64_t> right{0};
  std::atomic<int64_t> wrong{0};
  std::atomic<int64_t> refused{0};
  std::atomic<int64_t> broken{0};
  std::atomic<int64_t> tokens{0};
};

/** One answer as it came. */
struct Answer {
  std::string text;
  bool is_whole = false;
  int status = 0;
  absl::Duration first = absl::ZeroDuration();
};

/** Splits a stream into lines. */
class Lines {
 public:
  template <class Take>
  void Feed(const char* data, size_t size, Take&& take) {
    rest_.append(data, size);
    size_t begin = 0;
    for (size_t end = rest_.find('\n'); end != std::string::npos;
         end = rest_.find('\n', begin)) {
      take(std::string_view(rest_).substr(begin, end - begin));
      begin = end + 1;
    }
    rest_.erase(0, begin);
  }

 private:
  std::string rest_;
};

void TakeDirectLine(std::string_view line, Answer* answer) {
  const Json json = Json::parse(line, nullptr, false);
  if (json.contains("t"))
    answer->text += json["t"].get<std::string>();
  answer->is_whole |= json.value("end", false);
}

void TakeEventLine(std::string_view line, Answer* answer) {
  constexpr std::string_view kData = "data: ";
  if (line.substr(0, kData.size()) != kData)
    return;
  line.remove_prefix(kData.size());
  if (line == "[DONE]") {
    answer->is_whole = true;
    return;
  }
  const Json json = Json::parse(line, nullptr, false);
  if (!json.contains("choices") || json["choices"].empty())
    return;
  const Json& delta = json["choices"][0]["delta"];
  answer->text += delta.value("content", "");
}

class Sender {
 public:
  Sender(const Arguments& arguments, Totals* totals)
      : arguments_(arguments), totals_(totals) {}

  void Run(int number) {
    httplib::Client client("http://" + arguments_.target);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(std::chrono::seconds(120));
    const absl::Time end = absl::Now() + absl::Seconds(arguments_.seconds);
    for (int i = 0; i < arguments_.requests && absl::Now() < end; ++i)
      Send(&client, absl::StrCat(number, "-", i));
  }

 private:
  std::string PromptOf(const std::string& name) const {
    std::string prompt =
        absl::StrCat("load ", name, " [[answer ", arguments_.answer, "]] ");
    if (prompt.size() < static_cast<size_t>(arguments_.prompt_bytes))
      prompt.resize(static_cast<size_t>(arguments_.prompt_bytes), 'x');
    return prompt;
  }

  void Send(httplib::Client* client, const std::string& name) {
    const std::string content = PromptOf(name);
    // The entry hands on messages as one text.
    const std::string prompt =
        arguments_.is_direct ? content : absl::StrCat("user: ", content, "\n");
    for (int attempt = 0;; ++attempt) {
      const absl::Time begin = absl::Now();
      const Answer answer = arguments_.is_direct
                                ? SendDirect(client, prompt, name)
                                : SendChat(client, content);
      if (answer.status == 0 || !answer.is_whole) {
        const bool is_refusal = answer.status >= 400;
        if (attempt < arguments_.retries) {
          absl::SleepFor(absl::Milliseconds(200));
          continue;
        }
        ++(is_refusal ? totals_->refused : totals_->broken);
        return;
      }
      Count(answer, prompt, begin);
      return;
    }
  }

  void Count(const Answer& answer,
             const std::string& prompt,
             absl::Time begin) {
    if (answer.text != ExpectedResponseText(prompt, arguments_.answer)) {
      ++totals_->wrong;
      return;
    }
    ++totals_->right;
    totals_->tokens += arguments_.answer;
    absl::MutexLock lock(&totals_->mutex);
    totals_->first_ms.push_back(absl::ToDoubleMilliseconds(answer.first));
    totals_->total_ms.push_back(
        absl::ToDoubleMilliseconds(absl::Now() - begin));
  }

  Answer SendDirect(httplib::Client* client,
                    const std::string& prompt,
                    const std::string& name) {
    const Json body = {{"attempt", absl::StrCat("load~1~", name)},
                       {"prompt", prompt},
                       {"max_tokens", arguments_.answer}};
    return Exchange(client, "/v1/streams", body, /*is_lines=*/true);
  }

  Answer SendChat(httplib::Client* client, const std::string& content) {
    const Json body = {
        {"model", arguments_.model},
        {"max_tokens", arguments_.answer},
        {"stream", arguments_.is_streamed},
        {"messages", {{{"role", "user"}, {"content", content}}}}};
    return Exchange(client, "/v1/chat/completions", body, /*is_lines=*/false);
  }

  Answer Exchange(httplib::Client* client,
                  const char* path,
                  const Json& body,
                  bool is_lines) {
    Answer answer;
    Lines lines;
    std::string whole;
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
      if (answer.first == absl::ZeroDuration())
        answer.first = absl::Now() - begin;
      if (!is_lines && !arguments_.is_streamed) {
        whole.append(data, size);
        return true;
      }
      lines.Feed(data, size, [&](std::string_view line) {
        is_lines ? TakeDirectLine(line, &answer) : TakeEventLine(line, &answer);
      });
      return true;
    };
    const auto result = client->send(request);
    if (!result) {
      answer.is_whole = false;
      return answer;
    }
    if (!is_lines && !arguments_.is_streamed && answer.status == 200) {
      const Json json = Json::parse(whole, nullptr, false);
      if (json.contains("choices")) {
        answer.text = json["choices"][0]["message"].value("content", "");
        answer.is_whole = true;
      }
    }
    return answer;
  }

  const Arguments& arguments_;
  Totals* const totals_;
};

int Run(int argc, char** argv) {
  cxxopts::Options options("chicory_load", kPurpose);
  Arguments arguments;
  options.add_options()("target", "Address to send to",
                        cxxopts::value(arguments.target))(
      "key", "Key of a client account", cxxopts::value(arguments.key))(
      "model", "Model to ask", cxxopts::value(arguments.model))(
      "direct", "The target is an engine", cxxopts::value(arguments.is_direct))(
      "stream", "Ask for streamed answers",
      cxxopts::value(arguments.is_streamed))("streams", "Requests at a time",
                                             cxxopts::value(arguments.streams))(
      "seconds", "How long", cxxopts::value(arguments.seconds))(
      "requests", "Most requests a stream", cxxopts::value(arguments.requests))(
      "prompt-bytes", "Length of a prompt",
      cxxopts::value(arguments.prompt_bytes))("answer", "Tokens of an answer",
                                              cxxopts::value(arguments.answer))(
      "retries", "Sendings again after a refusal or a break",
      cxxopts::value(arguments.retries));
  if (const auto code = ParseCommandLine(&options, "chicory_load", argc, argv))
    return *code;
  if (arguments.target.empty()) {
    std::cerr << "chicory_load: --target is missing; see --help\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  Totals totals;
  const absl::Time begin = absl::Now();
  std::vector<std::thread> threads;
  for (int i = 0; i < arguments.streams; ++i) {
    threads.emplace_back(
        [&arguments, &totals, i] { Sender(arguments, &totals).Run(i); });
  }
  for (std::thread& thread : threads)
    thread.join();
  const double seconds = absl::ToDoubleSeconds(absl::Now() - begin);
  absl::MutexLock lock(&totals.mutex);
  std::cout << absl::StrFormat(
      "right=%d wrong=%d refused=%d broken=%d requests_per_second=%.1f "
      "tokens_per_second=%.1f first_p50_ms=%.3f first_p99_ms=%.3f "
      "total_p50_ms=%.3f total_p99_ms=%.3f\n",
      totals.right.load(), totals.wrong.load(), totals.refused.load(),
      totals.broken.load(), totals.right.load() / seconds,
      totals.tokens.load() / seconds, Percentile(totals.first_ms, 50),
      Percentile(totals.first_ms, 99), Percentile(totals.total_ms, 50),
      Percentile(totals.total_ms, 99));
  const bool is_good =
      totals.wrong == 0 && totals.refused == 0 && totals.broken == 0;
  return is_good ? 0 : 1;
}

}  // namespace
}  // namespace chicory

int main(int argc, char** argv) {
  return chicory::Run(argc, argv);
}
