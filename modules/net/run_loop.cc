#include "modules/net/run_loop.h"

namespace chicory {

void RunLoop(boost::asio::io_context& loop,
             const std::function<void(const std::exception&)>& on_error) {
  while (true) {
    try {
      loop.run();
      return;
    } catch (const std::exception& error) {
      on_error(error);
    }
  }
}

}  // namespace chicory
