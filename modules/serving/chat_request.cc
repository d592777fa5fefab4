#include "modules/serving/chat_request.h"

#include "absl/strings/str_cat.h"
#include "modules/core/hashing.h"
#include "nlohmann/json.hpp"

namespace chicory {

namespace {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

constexpr auto kReplaceInvalidUtf8 = Json::error_handler_t::replace;

/** Number of leading blocks that are hashed. A longer common prefix makes no
    difference to the choice of an upstream. */
constexpr size_t kMaxPrefixBlocks = 64;

/** Appends the content of a message, a string or a list of text parts, to
    `prompt`. Returns false if it is neither. */
bool AppendContent(const Json& content, std::string* prompt) {
  if (content.is_string()) {
    prompt->append(content.get_ref<const std::string&>());
    return true;
  }
  if (!content.is_array())
    return false;
  for (const Json& part : content) {
    if (!part.is_object() || !part.contains("text") ||
        !part["text"].is_string()) {
      return false;
    }
    prompt->append(part["text"].get_ref<const std::string&>());
  }
  return true;
}

std::string ToServerSentEvent(const OrderedJson& json) {
  return absl::StrCat("data: ", json.dump(-1, ' ', false, kReplaceInvalidUtf8),
                      "\n\n");
}

OrderedJson ChunkToJson(const ChatResponse& response) {
  return {{"id", response.id},
          {"object", "chat.completion.chunk"},
          {"created", response.created_unix_seconds},
          {"model", response.model},
          {"choices", OrderedJson::array()}};
}

OrderedJson UsageToJson(const ChatResponse& response) {
  return {
      {"prompt_tokens", response.prompt_tokens},
      {"completion_tokens", response.completion_tokens},
      {"total_tokens", response.prompt_tokens + response.completion_tokens}};
}

}  // namespace

Result<ChatRequest> ChatRequest::FromJson(std::string_view body) {
  const Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object())
    return Fail(ErrorCode::kInvalid, "the body is not a JSON object");
  ChatRequest request;
  if (!json.contains("model") || !json["model"].is_string())
    return Fail(ErrorCode::kInvalid, "`model` must be a string");
  request.model = json["model"].get<std::string>();
  if (!json.contains("messages") || !json["messages"].is_array() ||
      json["messages"].empty()) {
    return Fail(ErrorCode::kInvalid, "`messages` must be a non-empty list");
  }
  size_t index = 0;
  for (const Json& message : json["messages"]) {
    const std::string location = absl::StrCat("`messages[", index++, "]`");
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string()) {
      return Fail(ErrorCode::kInvalid, location + " must have a string `role`");
    }
    absl::StrAppend(&request.prompt, message["role"].get<std::string>(), ": ");
    if (!message.contains("content") ||
        !AppendContent(message["content"], &request.prompt)) {
      return Fail(ErrorCode::kInvalid,
                  location + " must have string or text-part `content`");
    }
    request.prompt += "\n";
  }
  for (const char* key : {"max_tokens", "max_completion_tokens"}) {
    if (!json.contains(key) || json[key].is_null())
      continue;
    if (!json[key].is_number_integer() || json[key].get<int64_t>() < 1 ||
        json[key].get<int64_t>() > kMaxTokensLimit) {
      return Fail(ErrorCode::kInvalid,
                  absl::StrCat("`", key, "` must be an integer from 1 to ",
                               kMaxTokensLimit));
    }
    request.max_tokens = json[key].get<int64_t>();
  }
  if (json.contains("stream") && !json["stream"].is_null()) {
    if (!json["stream"].is_boolean())
      return Fail(ErrorCode::kInvalid, "`stream` must be a boolean");
    request.is_streamed = json["stream"].get<bool>();
  }
  if (json.contains("stream_options") && json["stream_options"].is_object()) {
    const Json& options = json["stream_options"];
    request.include_usage = options.contains("include_usage") &&
                            options["include_usage"] == Json(true);
  }
  return request;
}

std::string ChatResponse::ToJson() const {
  const OrderedJson json = {
      {"id", id},
      {"object", "chat.completion"},
      {"created", created_unix_seconds},
      {"model", model},
      {"choices",
       {{{"index", 0},
         {"message", {{"role", "assistant"}, {"content", text}}},
         {"finish_reason", finish_reason}}}},
      {"usage", UsageToJson(*this)}};
  return json.dump(-1, ' ', false, kReplaceInvalidUtf8);
}

std::string ChatResponse::ToDeltaEvent(std::string_view delta,
                                       bool is_first) const {
  OrderedJson json = ChunkToJson(*this);
  OrderedJson content = {{"content", delta}};
  if (is_first)
    content["role"] = "assistant";
  json["choices"].push_back(
      {{"index", 0}, {"delta", content}, {"finish_reason", nullptr}});
  return ToServerSentEvent(json);
}

std::string ChatResponse::ToFinalEvents(bool with_usage) const {
  OrderedJson last = ChunkToJson(*this);
  last["choices"].push_back({{"index", 0},
                             {"delta", OrderedJson::object()},
                             {"finish_reason", finish_reason}});
  std::string events = ToServerSentEvent(last);
  if (with_usage) {
    OrderedJson usage = ChunkToJson(*this);
    usage["usage"] = UsageToJson(*this);
    events += ToServerSentEvent(usage);
  }
  return events + "data: [DONE]\n\n";
}

std::vector<uint64_t> PrefixBlocksOf(std::string_view prompt) {
  std::vector<uint64_t> blocks;
  uint64_t hash = 0;
  for (size_t begin = 0; begin + kPrefixBlockBytes <= prompt.size() &&
                         blocks.size() < kMaxPrefixBlocks;
       begin += kPrefixBlockBytes) {
    hash = StableHash(prompt.substr(begin, kPrefixBlockBytes), hash);
    blocks.push_back(hash);
  }
  return blocks;
}

}  // namespace chicory
