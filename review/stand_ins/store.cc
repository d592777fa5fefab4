#include "review/stand_ins/store.h"

#include <cstdlib>
#include <thread>

namespace review {

namespace {

/** The store lists at most this many objects at once. */
constexpr size_t kPageSize = 500;

/** Returns the value of `name` in a target's query, or an empty string. */
std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t query = target.find('?');
  if (query == std::string::npos)
    return "";
  size_t at = query;
  while (at != std::string::npos) {
    const size_t begin = at + 1;
    at = target.find('&', begin);
    const std::string pair = target.substr(begin, at - begin);
    if (pair.compare(0, name.size() + 1, name + "=") == 0)
      return pair.substr(name.size() + 1);
  }
  return "";
}

std::string HttpResponse(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " x\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

Store::Store(Record* record)
    : record_(record),
      server_([this](Connection& connection) { Serve(connection); }) {}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.Stop();
}

bool Store::Start(const std::string& ip) {
  return server_.Start(ip);
}

uint64_t Store::Put(const std::string& kind,
                    const std::string& name,
                    const std::string& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  objects_[kind][name] = {.spec = spec, .revision = ++revision_};
  record_->Add("store: " + kind + "/" + name + " = " + spec.substr(0, 200) +
               " revision=" + std::to_string(revision_));
  changed_.notify_all();
  return revision_;
}

uint64_t Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Object& object = objects_[kind][name];
  object.revision = ++revision_;
  object.deleted = true;
  record_->Add("store: " + kind + "/" + name +
               " removed revision=" + std::to_string(revision_));
  changed_.notify_all();
  return revision_;
}

void Store::Compact() {
  const std::lock_guard<std::mutex> lock(mutex_);
  oldest_ = ++revision_;
  record_->Add("store: history discarded");
  changed_.notify_all();
}

void Store::SetAnswerTime(Milliseconds time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  answer_time_ = time;
}

void Store::Serve(Connection& connection) {
  const std::string prefix = "/objects/";
  while (const auto request = connection.ReadRequest()) {
    Milliseconds answer_time;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      answer_time = answer_time_;
    }
    std::this_thread::sleep_for(answer_time);
    const std::string path =
        request->target.substr(0, request->target.find('?'));
    int status = 200;
    std::string body;
    if (request->method != "GET" || path.compare(0, prefix.size(), prefix)) {
      status = 404;
      body = "{}";
    } else {
      const std::string kind = path.substr(prefix.size());
      const std::string watch = QueryValue(request->target, "watch");
      if (watch.empty()) {
        body = List(kind, QueryValue(request->target, "after"));
      } else {
        body = Watch(kind, std::strtoull(watch.c_str(), nullptr, 10),
                     Milliseconds(std::atoi(
                         QueryValue(request->target, "wait-ms").c_str())));
        status = body.empty() ? 410 : 200;
      }
    }
    if (!connection.Write(HttpResponse(status, body.empty() ? "{}" : body)))
      return;
  }
}

std::string Store::ObjectJson(const std::string& name,
                              const Object& object) const {
  return "{\"metadata\":{\"name\":\"" + name +
         "\",\"revision\":" + std::to_string(object.revision) +
         ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec +
         ",\"status\":null}";
}

std::string Store::List(const std::string& kind, const std::string& after) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string items;
  size_t count = 0;
  bool has_more = false;
  for (const auto& [name, object] : objects_[kind]) {
    if (object.deleted || name <= after)
      continue;
    if (count == kPageSize) {
      has_more = true;
      break;
    }
    items += (count++ == 0 ? "" : ",") + ObjectJson(name, object);
  }
  return "{\"items\":[" + items +
         "],\"has-more\":" + (has_more ? "true" : "false") +
         ",\"current-rev\":" + std::to_string(revision_) + "}";
}

bool Store::HasChanged(const std::string& kind, uint64_t revision) const {
  const auto found = objects_.find(kind);
  if (found == objects_.end())
    return false;
  for (const auto& [name, object] : found->second) {
    if (object.revision > revision)
      return true;
  }
  return false;
}

std::string Store::Watch(const std::string& kind,
                         uint64_t revision,
                         Milliseconds wait) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, wait, [&] {
    return stopping_ || revision < oldest_ || HasChanged(kind, revision);
  });
  if (revision < oldest_)
    return "";
  std::string events;
  for (const auto& [name, object] : objects_[kind]) {
    if (object.revision <= revision)
      continue;
    events += std::string(events.empty() ? "" : ",") +
              "{\"deleted\":" + (object.deleted ? "true" : "false") +
              ",\"object\":" + ObjectJson(name, object) + "}";
  }
  return "{\"events\":[" + events +
         "],\"current-rev\":" + std::to_string(revision_) + "}";
}

}  // namespace review
