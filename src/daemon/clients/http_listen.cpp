#include "daemon/clients/http_listen.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace linenpier::platform {

tl::expected<void, Findings> bindHttpServer(httplib::Server& server, const Address& address) {
  socket_t listening = INVALID_SOCKET;
  server.set_socket_options([&listening](socket_t handle) {
    const int yes = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    listening = handle;
  });
  const bool bound = server.bind_to_port(ipText(address), address.port);
  // The options must not outlive this call's variables.
  server.set_socket_options([](socket_t) {});
  if (!bound || ::listen(listening, kListenBacklog) != 0) {
    return tl::make_unexpected(
        Findings{{"HTTP address " + toString(address), std::strerror(errno)}});
  }
  return {};
}

}  // namespace linenpier::platform
