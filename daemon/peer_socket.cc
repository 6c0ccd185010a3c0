#include "daemon/peer_socket.h"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <utility>

namespace fuchsiadrum::daemon {
namespace {

// Chunks of a state reply are far below this.
constexpr size_t kMaxFrameBytes = 16U << 20U;
// Frames that wait while a link is dialled. Old messages are worthless, so
// the queue is short.
constexpr int kQueuedFrames = 128;
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 1000;

}  // namespace

PeerListener::PeerListener(OnMessage new_handler)
    : handler(std::move(new_handler)) {}

PeerListener::~PeerListener() {
  // Stopping waits for the handler in progress.
  if (this->aio != nullptr) nng_aio_stop(this->aio);
  nng_close(this->socket);
  if (this->aio != nullptr) nng_aio_free(this->aio);
}

std::string PeerListener::Open(const std::string& address) {
  int error = nng_pull0_open(&this->socket);
  if (error == 0) {
    error =
        nng_socket_set_size(this->socket, NNG_OPT_RECVMAXSZ, kMaxFrameBytes);
  }
  if (error == 0) {
    error = nng_aio_alloc(&this->aio, &PeerListener::Received, this);
  }
  if (error == 0) {
    error = nng_listen(this->socket, ("tcp://" + address).c_str(), nullptr, 0);
  }
  if (error != 0) {
    return "cannot listen on " + address + ": " + nng_strerror(error);
  }
  this->Next();
  return {};
}

void PeerListener::Next() { nng_recv_aio(this->socket, this->aio); }

void PeerListener::Received(void* listener) {
  auto* self = static_cast<PeerListener*>(listener);
  const int error = nng_aio_result(self->aio);
  if (error == NNG_ECLOSED || error == NNG_ECANCELED) return;
  if (error != 0) return self->Next();

  nng_msg* message = nng_aio_get_msg(self->aio);
  std::string bytes(static_cast<const char*>(nng_msg_body(message)),
                    nng_msg_len(message));
  nng_msg_free(message);
  self->handler(std::move(bytes));
}

PeerDialler::~PeerDialler() { this->Close(); }

void PeerDialler::Close() {
  if (this->open) nng_close(this->socket);
  this->open = false;
}

bool PeerDialler::Redial() {
  this->Close();
  if (nng_push0_open(&this->socket) != 0) return false;
  this->open = true;
  nng_socket_set_int(this->socket, NNG_OPT_SENDBUF, kQueuedFrames);
  nng_socket_set_ms(this->socket, NNG_OPT_RECONNMINT, kReconnectMinMs);
  nng_socket_set_ms(this->socket, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
  return nng_dial(this->socket, ("tcp://" + this->address).c_str(), nullptr,
                  NNG_FLAG_NONBLOCK) == 0;
}

bool PeerDialler::Send(std::string_view bytes) {
  if (!this->open) return false;
  return nng_send(this->socket, const_cast<char*>(bytes.data()), bytes.size(),
                  NNG_FLAG_NONBLOCK) == 0;
}

}  // namespace fuchsiadrum::daemon
