#include "modules/peers/peer_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "absl/strings/escaping.h"

namespace chicory {

void WriteGossip(const GossipMessage& message, wire::Gossip::Builder builder) {
  builder.setSender(message.sender);
  builder.setAddress(message.address);
  builder.setDataCentre(message.data_centre);
  builder.setVersion(message.version);
  builder.setConfigurationRevision(message.configuration_revision);
  builder.setStamp(message.stamp);
  auto updates = builder.initRumours(message.updates.size());
  for (size_t i = 0; i < message.updates.size(); ++i) {
    const GossipUpdate& update = message.updates[i];
    updates[i].setKind(static_cast<uint8_t>(update.kind));
    updates[i].setSubject(update.subject);
    if (!update.origin.empty())
      updates[i].setOrigin(update.origin);
    updates[i].setVersion(update.version);
    updates[i].setValue(update.value);
    if (!update.address.empty())
      updates[i].setAddress(update.address);
    if (!update.data_centre.empty())
      updates[i].setDataCentre(update.data_centre);
  }
}

GossipMessage ReadGossip(wire::Gossip::Reader reader) {
  GossipMessage message{
      .sender = reader.getSender(),
      .address = reader.getAddress(),
      .data_centre = reader.getDataCentre(),
      .version = reader.getVersion(),
      .configuration_revision = reader.getConfigurationRevision(),
      .stamp = reader.getStamp()};
  for (const auto& update : reader.getRumours()) {
    if (update.getKind() > static_cast<uint8_t>(GossipUpdateKind::kCrashCount))
      continue;
    message.updates.push_back(
        {.kind = static_cast<GossipUpdateKind>(update.getKind()),
         .subject = update.getSubject(),
         .origin = update.getOrigin(),
         .version = update.getVersion(),
         .value = update.getValue(),
         .address = update.getAddress(),
         .data_centre = update.getDataCentre()});
  }
  return message;
}

size_t GossipWireBytes(const GossipMessage& message) {
  capnp::MallocMessageBuilder builder;
  WriteGossip(message, builder.initRoot<wire::Gossip>());
  return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

std::string PeerProof(std::string_view shared_key, std::string_view sender) {
  if (shared_key.empty())
    return "";
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int length = 0;
  HMAC(EVP_sha256(), shared_key.data(), static_cast<int>(shared_key.size()),
       reinterpret_cast<const unsigned char*>(sender.data()), sender.size(),
       digest, &length);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest), length));
}

}  // namespace chicory
