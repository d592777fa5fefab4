#ifndef MODULES_NET_RUN_LOOP_H_
#define MODULES_NET_RUN_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>

namespace chicory {

/** Like `loop.run()`, but a callback that throws ends only itself, and its
    exception is passed to `on_error`.

    The classes of this module make that safe: a connection whose callback
    throws is closed, and its handler or listener is told; listeners and sockets
    go on. Code that repeats itself by a timer must set the timer again also
    when it throws.

        RunLoop(loop, [](const std::exception& error) { Log(error.what()); });
*/
void RunLoop(boost::asio::io_context& loop,
             const std::function<void(const std::exception&)>& on_error);

}  // namespace chicory

#endif  // MODULES_NET_RUN_LOOP_H_
