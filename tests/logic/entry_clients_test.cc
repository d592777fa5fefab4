#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "modules/store/http_object_store.h"
#include "tests/logic/scripted_upstream.h"

namespace chicory {
namespace {

/** A server on a thread of its own that answers one request with fixed bytes.
 */
class ScriptedServer {
 public:
  explicit ScriptedServer(std::string response, Ending ending = Ending::kClose)
      : upstream_(loop_, std::move(response), ending),
        thread_([this] { loop_.run(); }) {}
  ~ScriptedServer() {
    loop_.stop();
    thread_.join();
  }

  std::string address() const { return EndpointText(upstream_.address()); }

 private:
  boost::asio::io_context loop_;
  const boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{loop_.get_executor()};
  ScriptedUpstream upstream_;
  std::thread thread_;
};

std::string ResponseOf(int status, const std::string& body) {
  return absl::StrCat("HTTP/1.1 ", status,
                      " Status\r\nContent-Length: ", body.size(), "\r\n\r\n",
                      body);
}

// Guards against entries that ended, or stopped following the list, because of
// one instance that another writer had listed.
TEST_CASE("an odd instance leaves the rest of the list usable") {
  const auto instance = [](const std::string& name,
                           const std::string& address) {
    return R"({"name":")" + name + R"(","role":"engine","address":")" +
           address + "\"}";
  };
  struct Case {
    const char* name;
    std::string item;
  };
  const std::vector<Case> cases = {
      {"no name", R"({"role":"engine","address":"127.0.0.1:80"})"},
      {"a member of another type",
       R"({"name":"odd","role":"engine","address":"127.0.0.1:80","models":7})"},
      {"a text", R"("odd")"},
      {"a number too large",
       R"({"name":"odd","role":"engine","address":"127.0.0.1:80","x":1e400})"},
      {"many levels",
       "{\"name\":" + std::string(5000, '[') + std::string(5000, ']') + "}"},
      {"bytes that are not UTF-8", "{\"name\":\"\xff\"}"},
      {"no port", instance("odd", "127.0.0.1")},
      {"port zero", instance("odd", "127.0.0.1:0")},
      {"a port out of range", instance("odd", "127.0.0.1:65536")},
      {"a port of 20 digits",
       instance("odd", "127.0.0.1:99999999999999999999")},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    const std::vector<std::string> items = {
        instance("a", "127.0.0.1:80"), c.item, instance("z", "127.0.0.1:81")};
    const ScriptedServer server(
        ResponseOf(200, "[" + absl::StrJoin(items, ",") + "]"));
    HttpObjectStore store({.address = server.address()});
    const auto records = Capture([&] { return store.Instances(); });
    REQUIRE(records.ok);
    REQUIRE(records.value.size() == 2);
    CHECK(records.value[0].name == "a");
    CHECK(records.value[1].name == "z");
  }
}

}  // namespace
}  // namespace chicory
