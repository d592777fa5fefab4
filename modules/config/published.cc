#include "modules/config/published.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "modules/core/hashing.h"
#include "nlohmann/json.hpp"

namespace chicory {

std::string ConfigurationIndex::ToJson() const {
  nlohmann::ordered_json json = {{"revision", revision},
                                 {"change_id", change_id},
                                 {"blobs", blobs},
                                 {"history", nlohmann::ordered_json::array()}};
  for (const HistoryEntry& entry : history) {
    json["history"].push_back({{"revision", entry.revision},
                               {"change_id", entry.change_id},
                               {"published_by", entry.published_by},
                               {"team", entry.team},
                               {"time", entry.time_unix_seconds},
                               {"blob", entry.blob}});
  }
  return json.dump();
}

Result<ConfigurationIndex> ConfigurationIndex::FromJson(std::string_view text) {
  ConfigurationIndex index;
  try {
    const auto json = nlohmann::json::parse(text);
    index.revision = json.at("revision").get<uint64_t>();
    index.change_id = json.at("change_id").get<std::string>();
    index.blobs = json.at("blobs").get<std::map<std::string, std::string>>();
    for (const auto& entry : json.at("history")) {
      index.history.push_back(
          {.revision = entry.at("revision").get<uint64_t>(),
           .change_id = entry.at("change_id").get<std::string>(),
           .published_by = entry.at("published_by").get<std::string>(),
           .team = entry.at("team").get<std::string>(),
           .time_unix_seconds = entry.at("time").get<int64_t>(),
           .blob = entry.at("blob").get<std::string>()});
    }
  } catch (const nlohmann::json::exception& exception) {
    return Fail(ErrorCode::kInvalid,
                absl::StrCat("configuration index: ", exception.what()));
  }
  return index;
}

std::string FilesToBlob(const std::vector<SourceFile>& files) {
  std::map<std::string, std::string> by_name;
  for (const SourceFile& file : files)
    by_name[file.name] = file.text;
  return nlohmann::json(by_name).dump(-1, ' ', false,
                                      nlohmann::json::error_handler_t::replace);
}

Result<std::vector<SourceFile>> BlobToFiles(std::string_view blob) {
  std::vector<SourceFile> files;
  try {
    const auto json = nlohmann::json::parse(blob);
    for (const auto& [name, text] : json.items())
      files.push_back({.name = name, .text = text.get<std::string>()});
  } catch (const nlohmann::json::exception& exception) {
    return Fail(ErrorCode::kInvalid,
                absl::StrCat("configuration blob: ", exception.what()));
  }
  return files;
}

std::string BlobName(std::string_view blob) {
  return Sha256Hex(blob);
}

Result<std::shared_ptr<const ConfigurationSnapshot>>
ConfigurationSnapshot::Build(std::string index_json,
                             std::map<std::string, std::string> blobs) {
  auto snapshot = std::make_shared<ConfigurationSnapshot>();
  BOOST_LEAF_ASSIGN(snapshot->index, ConfigurationIndex::FromJson(index_json));
  std::map<std::string, std::vector<SourceFile>> files_by_team;
  for (const auto& [team, name] : snapshot->index.blobs) {
    auto found = blobs.find(name);
    if (found == blobs.end() || BlobName(found->second) != name) {
      return Fail(ErrorCode::kInvalid, absl::StrCat("blob of team ", team,
                                                    " is missing or corrupt"));
    }
    BOOST_LEAF_ASSIGN(files_by_team[team], BlobToFiles(found->second));
    snapshot->blobs[name] = std::move(found->second);
  }
  Findings findings;
  snapshot->configuration = ConfigurationReader::Read(files_by_team, &findings);
  if (!findings.empty())
    return Fail(ErrorCode::kInvalid, findings.ToText());
  snapshot->configuration.revision = snapshot->index.revision;
  snapshot->index_json = std::move(index_json);
  return std::shared_ptr<const ConfigurationSnapshot>(std::move(snapshot));
}

}  // namespace chicory
