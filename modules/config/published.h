#ifndef MODULES_CONFIG_PUBLISHED_H_
#define MODULES_CONFIG_PUBLISHED_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "modules/config/configuration.h"
#include "modules/core/error.h"

namespace chicory {

/** One accepted change, as the history keeps it. */
struct HistoryEntry {
  uint64_t revision = 0;
  std::string change_id;
  std::string published_by;
  std::string team;
  int64_t time_unix_seconds = 0;
  /** The blob that became the team's content. */
  std::string blob;
};

/** The small object that names the content in force. Content lives in
    immutable blobs named by their hash, so that one conditional update of the
    index publishes a change and readers fetch only what changed. */
struct ConfigurationIndex {
  uint64_t revision = 0;
  std::string change_id;
  /** Blob hash by team. */
  std::map<std::string, std::string> blobs;
  /** Newest last; bounded. */
  std::vector<HistoryEntry> history;

  /** Entries kept in `history`. */
  static constexpr size_t kMaxHistory = 50;

  /** The JSON text that is stored. */
  std::string ToJson() const;

  /** Reads stored text; kInvalid when it is malformed. */
  static Result<ConfigurationIndex> FromJson(std::string_view text);
};

/** The files of one team as one text. */
std::string FilesToBlob(const std::vector<SourceFile>& files);

/** Takes a blob apart; kInvalid when it is malformed. */
Result<std::vector<SourceFile>> BlobToFiles(std::string_view blob);

/** The name of a blob: the SHA-256 of its text. */
std::string BlobName(std::string_view blob);

/** An index with all its blobs, and the configuration read from them. */
struct ConfigurationSnapshot {
  ConfigurationIndex index;
  std::string index_json;
  std::map<std::string, std::string> blobs;
  Configuration configuration;

  /** Reads and checks everything; kInvalid when a blob is missing, does not
      match its name, or has findings. */
  static Result<std::shared_ptr<const ConfigurationSnapshot>> Build(
      std::string index_json,
      std::map<std::string, std::string> blobs);
};

}  // namespace chicory

#endif  // MODULES_CONFIG_PUBLISHED_H_
