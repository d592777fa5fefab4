#ifndef MODULES_STORE_CONFIGURATION_PUBLISHER_H_
#define MODULES_STORE_CONFIGURATION_PUBLISHER_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/config/published.h"
#include "modules/core/findings.h"
#include "modules/store/object_store.h"

namespace chicory {

/** Key of the object that holds the configuration index. */
inline constexpr char kIndexKey[] = "config/index";

/** Returns the object key of the blob called `name`. */
std::string BlobKey(const std::string& name);

/** Checks the configuration files of teams and publishes them to the object
    store.

    Both the publishing tool and the administration API use this class.
    Thread-safe if the store is. */
class ConfigurationPublisher {
 public:
  using FilesByTeam = std::map<std::string, std::vector<SourceFile>>;

  /** A change to be published. */
  struct Request {
    /** The new files of each team, which replace all files of that team. */
    FilesByTeam files;
    /** Name of the publisher, recorded in the history. */
    std::string published_by;
    /** Unique id of the change. It is used to find out whether the change has
        been published when the response to a write was lost. */
    std::string change_id;
    /** The revision that the change is based on; 0 means the current one. The
        change conflicts if the same team has published since. */
    uint64_t base_revision = 0;
    /** Time of the change, recorded in the history. */
    absl::Time now;
  };

  /** `store` must outlive this object. */
  explicit ConfigurationPublisher(ObjectStore* store) : store_(store) {}

  /** Groups files by the team that each file names as its owner. Files without
      an owner are reported to `findings` and left out. */
  static FilesByTeam GroupByTeam(const std::vector<SourceFile>& files,
                                 Findings* findings);

  /** Returns the published configuration, which is empty if nothing has been
      published yet. */
  Result<std::shared_ptr<const ConfigurationSnapshot>> Current();

  /** Checks `files` together with the published files of the other teams and
      reports problems to `findings`. Publishes nothing. */
  Result<void> Check(const FilesByTeam& files, Findings* findings);

  /** Publishes a change and returns its revision.

      Fails with kInvalid if there are findings, which are in the message, and
      with kConflict if the same team has published since the base revision.
      Changes that other teams have published since are merged. If the response
      to a write is lost, the index is read back to find out whether it took
      effect. Publishing the same change id again returns its revision. */
  Result<uint64_t> Publish(const Request& request);

  /** Compares `files` with the published ones. Returns one line per file that
      would be added (`+`), removed (`-`) or changed (`~`). */
  Result<std::vector<std::string>> Diff(const FilesByTeam& files);

 private:
  /** The contents of the store. */
  struct Loaded {
    /** Object version of the index; 0 if there is none. */
    uint64_t version = 0;
    ConfigurationIndex index;
    FilesByTeam files;
    std::map<std::string, std::string> blobs;
  };

  /** Reads the index and all blobs that it refers to. */
  Result<Loaded> Load();
  /** Writes a blob under its content hash, unless it exists already. */
  Result<void> WriteBlob(const std::string& blob);

  ObjectStore* store_;
};

}  // namespace chicory

#endif  // MODULES_STORE_CONFIGURATION_PUBLISHER_H_
