#include "slatestall/http/lingering_close.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <system_error>
#include <utility>

#include "slatestall/model/time.h"

namespace slatestall {
namespace {

constexpr milliseconds kMaxLinger{2000};
constexpr std::size_t kMaxDropped = std::size_t{64} << 20U;
constexpr std::size_t kPiece = std::size_t{16} << 10U;

class lingering_socket : public std::enable_shared_from_this<lingering_socket> {
 public:
  lingering_socket(asio::ip::tcp::socket socket, std::function<void()> done)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        done_(std::move(done)) {}
  ~lingering_socket() { done_(); }
  lingering_socket(const lingering_socket&) = delete;
  lingering_socket& operator=(const lingering_socket&) = delete;

  void Start() {
    timer_.expires_after(kMaxLinger);
    timer_.async_wait([self = shared_from_this()](std::error_code error) {
      if (!error) {
        self->Close();
      }
    });
    Read();
  }

 private:
  void Read() {
    socket_.async_read_some(
        asio::buffer(piece_),
        [self = shared_from_this()](std::error_code error, std::size_t bytes) {
          self->dropped_ += bytes;
          if (error || self->dropped_ > kMaxDropped) {
            self->Close();
            return;
          }
          self->Read();
        });
  }

  void Close() {
    timer_.cancel();
    std::error_code error;
    socket_.close(error);
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::function<void()> done_;
  std::array<char, kPiece> piece_{};
  std::size_t dropped_ = 0;
};

}  // namespace

void CloseLingering(asio::ip::tcp::socket socket, std::function<void()> done) {
  std::make_shared<lingering_socket>(std::move(socket), std::move(done))
      ->Start();
}

}  // namespace slatestall
