#include "slatestall/http/http_server.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <restinio/all.hpp>
#include <unordered_map>
#include <utility>

#include "slatestall/http/ascii_case.h"
#include "slatestall/http/connection_acceptor.h"
#include "slatestall/http/connection_socket.h"
#include "slatestall/http/header_check.h"
#include "slatestall/http/lingering_close.h"
#include "slatestall/http/server_connection.h"
#include "slatestall/http/status_phrase.h"

namespace slatestall {
namespace {

constexpr std::size_t kReadBufferBytes = std::size_t{8} << 10U;
constexpr std::size_t kMaxTargetBytes = std::size_t{8} << 10U;
constexpr std::size_t kMaxFieldNameBytes = 256;
constexpr std::size_t kMaxFieldValueBytes = std::size_t{16} << 10U;
constexpr std::size_t kMaxFields = 100;
constexpr milliseconds kSweepPeriod{250};

/// With one, RESTinio stops reading while a request is in hand and does not
/// see that the caller has closed.
constexpr std::size_t kMaxPipelinedRequests = 2;

struct server_traits
    : restinio::traits_t<restinio::null_timer_manager_t,
                         restinio::null_logger_t,
                         restinio::details::autodetect_request_handler_type,
                         restinio::noop_strand_t, connection_socket> {};

using server_settings = restinio::server_settings_t<server_traits>;
using connection_settings =
    restinio::impl::connection_settings_t<server_traits>;
using connection_factory = restinio::impl::connection_factory_t<server_traits>;
using whole_answer =
    restinio::response_builder_t<restinio::restinio_controlled_output_t>;
using bodiless_answer =
    restinio::response_builder_t<restinio::user_controlled_output_t>;
using chunked_answer = restinio::response_builder_t<restinio::chunked_output_t>;

/// Passes a parser's verdict on, noting for the connection what it was about:
/// RESTinio itself closes without an answer, and a caller whose body was too
/// large would try again.
int Noted(int verdict, read_refusal refusal) {
  if (verdict != 0 && server_connection::Parsing() != nullptr) {
    server_connection::Parsing()->Refuse(refusal);
  }
  return verdict;
}

restinio::impl::http_parser_ctx_t& ParserContext(http_parser* parser) {
  return *static_cast<restinio::impl::http_parser_ctx_t*>(parser->data);
}

int OnHeadersComplete(http_parser* parser) {
  const int verdict = restinio::impl::restinio_headers_complete_cb(parser);
  if (verdict != 0) {
    return Noted(verdict, read_refusal::kBodyTooLarge);
  }
  if (parser->method == HTTP_CONNECT) {
    return Noted(-1, read_refusal::kMalformed);
  }
  // An offer to upgrade may be passed over and is: RESTinio's path for
  // upgrades drops its time limits and stops reading.
  parser->upgrade = 0;
  const auto expect = ParserContext(parser).m_header.get_field_or(
      restinio::http_field::expect, std::string());
  if (EqualsIgnoringCase(expect, "100-continue") &&
      server_connection::Parsing() != nullptr) {
    server_connection::Parsing()->SendContinue();
  }
  return 0;
}

int OnChunkHeader(http_parser* parser) {
  const int verdict = restinio::impl::restinio_chunk_header_cb(parser);
  // RESTinio keeps a record of every chunk: a body of one-byte chunks would
  // hold many times its own size.
  ParserContext(parser).m_chunked_info_block.m_chunks.clear();
  return verdict;
}

http_parser_settings ParserSettings() {
  using restinio::impl::restinio_body_cb;
  using restinio::impl::restinio_header_field_cb;
  using restinio::impl::restinio_header_value_cb;
  using restinio::impl::restinio_url_cb;
  auto settings = restinio::impl::create_parser_settings<
      server_traits::http_methods_mapper_t>();
  settings.on_headers_complete = &OnHeadersComplete;
  settings.on_chunk_header = &OnChunkHeader;
  settings.on_url = [](http_parser* parser, const char* at, size_t size) {
    return Noted(restinio_url_cb(parser, at, size),
                 read_refusal::kTargetTooLong);
  };
  settings.on_header_field = [](http_parser* parser, const char* at,
                                size_t size) {
    return Noted(restinio_header_field_cb(parser, at, size),
                 read_refusal::kHeadersTooLarge);
  };
  settings.on_header_value = [](http_parser* parser, const char* at,
                                size_t size) {
    return Noted(restinio_header_value_cb(parser, at, size),
                 read_refusal::kHeadersTooLarge);
  };
  settings.on_body = [](http_parser* parser, const char* at, size_t size) {
    return Noted(restinio_body_cb(parser, at, size),
                 read_refusal::kBodyTooLarge);
  };
  return settings;
}

/// Fields that say how the message is framed are RESTinio's to write.
bool IsFramingField(std::string_view name) {
  return EqualsIgnoringCase(name, "Content-Length") ||
         EqualsIgnoringCase(name, "Transfer-Encoding") ||
         EqualsIgnoringCase(name, "Connection");
}

class responder final : public http_responder,
                        public request_in_hand,
                        public std::enable_shared_from_this<responder> {
 public:
  responder(asio::io_context& context, std::size_t max_pending_bytes,
            std::function<bool()> draining,
            std::shared_ptr<server_connection> connection,
            restinio::request_handle_t request);
  ~responder() override;
  responder(const responder&) = delete;
  responder& operator=(const responder&) = delete;

  void Send(int status, const http_headers& headers, std::string body) override;
  void StartStream(int status, const http_headers& headers) override;
  void Write(std::string chunk) override;
  void Finish() override;
  void Abort() override;
  std::size_t PendingBytes() const override {
    return in_flight_bytes_ + waiting_.size();
  }
  void OnClosed(std::function<void()> hook) override;

  void OnConnectionClosed() override;

 private:
  enum class phase { kFresh, kStreaming, kDone };

  template <class Builder>
  void SetHead(Builder& builder, const http_headers& headers) const;
  restinio::http_status_line_t StatusLine(int status) const;
  restinio::write_status_cb_t Written(std::size_t bytes);
  void Flush();
  void OnWritten(std::size_t bytes);
  void End();
  void TellClosed();

  asio::io_context& context_;
  std::size_t max_pending_bytes_;
  std::function<bool()> draining_;
  std::shared_ptr<server_connection> connection_;
  std::size_t request_number_;
  restinio::request_handle_t request_;
  std::optional<chunked_answer> stream_;
  std::function<void()> closed_hook_;
  std::string waiting_;
  std::size_t in_flight_bytes_ = 0;
  phase phase_ = phase::kFresh;
  bool connection_closed_ = false;
  bool told_closed_ = false;
};

responder::responder(asio::io_context& context, std::size_t max_pending_bytes,
                     std::function<bool()> draining,
                     std::shared_ptr<server_connection> connection,
                     restinio::request_handle_t request)
    : context_(context),
      max_pending_bytes_(max_pending_bytes),
      draining_(std::move(draining)),
      connection_(std::move(connection)),
      request_number_(connection_->Add(*this)),
      request_(std::move(request)) {}

responder::~responder() {
  if (phase_ == phase::kFresh) {
    Send(500, {}, {});
  }
  if (phase_ == phase::kStreaming) {
    Abort();
  }
}

restinio::http_status_line_t responder::StatusLine(int status) const {
  return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
          std::string(StatusPhrase(status))};
}

template <class Builder>
void responder::SetHead(Builder& builder, const http_headers& headers) const {
  for (const http_header& header : headers) {
    if (!IsFramingField(header.name)) {
      builder.append_header(header.name, header.value);
    }
  }
  if (draining_() && connection_->EndAfter(request_number_)) {
    builder.connection_close();
  }
}

void responder::End() {
  phase_ = phase::kDone;
  connection_->Remove(*this);
  // The hook often holds this responder; it goes only after the members are
  // settled.
  const auto released = std::exchange(closed_hook_, nullptr);
}

void responder::Send(int status, const http_headers& headers,
                     std::string body) {
  if (phase_ != phase::kFresh) {
    return;
  }
  if (!HeadersAreSafe(headers)) {
    Send(500, {}, {});
    return;
  }
  const auto send = [&](auto builder) {
    SetHead(builder, headers);
    End();
    builder.done();
  };
  if (connection_closed_) {
    End();
    return;
  }
  if (request_->header().method() == restinio::http_method_head()) {
    auto builder =
        request_->create_response<restinio::user_controlled_output_t>(
            StatusLine(status));
    builder.set_content_length(body.size());
    send(std::move(builder));
    return;
  }
  auto builder = request_->create_response(StatusLine(status));
  builder.set_body(std::move(body));
  send(std::move(builder));
}

void responder::StartStream(int status, const http_headers& headers) {
  if (phase_ != phase::kFresh) {
    return;
  }
  if (!HeadersAreSafe(headers)) {
    Send(500, {}, {});
    return;
  }
  phase_ = phase::kStreaming;
  if (connection_closed_) {
    return;
  }
  stream_.emplace(request_->create_response<restinio::chunked_output_t>(
      StatusLine(status)));
  SetHead(*stream_, headers);
  stream_->flush();
}

restinio::write_status_cb_t responder::Written(std::size_t bytes) {
  in_flight_bytes_ += bytes;
  return [weak = weak_from_this(), bytes](const std::error_code& error) {
    const auto self = weak.lock();
    if (self && !error) {
      self->OnWritten(bytes);
    }
  };
}

void responder::Write(std::string chunk) {
  if (phase_ != phase::kStreaming || connection_closed_ || chunk.empty()) {
    return;
  }
  if (waiting_.empty()) {
    waiting_ = std::move(chunk);
  } else {
    waiting_.append(chunk);
  }
  if (in_flight_bytes_ == 0) {
    Flush();
    return;
  }
  // A handler that writes on without looking at PendingBytes would fill the
  // host's memory for one caller that does not read.
  if (PendingBytes() > max_pending_bytes_) {
    connection_->Close();
  }
}

void responder::Flush() {
  const std::size_t bytes = waiting_.size();
  stream_->append_chunk(std::exchange(waiting_, {}));
  stream_->flush(Written(bytes));
}

void responder::OnWritten(std::size_t bytes) {
  if (connection_closed_) {
    return;
  }
  in_flight_bytes_ -= bytes;
  if (phase_ == phase::kStreaming && !waiting_.empty()) {
    Flush();
  }
}

void responder::Finish() {
  if (phase_ != phase::kStreaming) {
    return;
  }
  End();
  if (connection_closed_) {
    return;
  }
  const std::size_t bytes = waiting_.size();
  stream_->append_chunk(std::exchange(waiting_, {}));
  stream_->done(Written(bytes));
}

void responder::Abort() {
  if (phase_ == phase::kDone) {
    return;
  }
  End();
  connection_->Close();
}

void responder::OnClosed(std::function<void()> hook) {
  if (phase_ == phase::kDone || told_closed_) {
    return;
  }
  closed_hook_ = std::move(hook);
  TellClosed();
}

void responder::OnConnectionClosed() {
  connection_closed_ = true;
  in_flight_bytes_ = 0;
  waiting_.clear();
  TellClosed();
}

void responder::TellClosed() {
  if (connection_closed_ && closed_hook_) {
    told_closed_ = true;
    // Posted: RESTinio or the handler may be on the stack.
    asio::post(context_, std::exchange(closed_hook_, nullptr));
  }
}

}  // namespace

class http_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& context, http_server_options options,
       http_handler handler)
      : context_(context),
        options_(std::move(options)),
        handler_(std::move(handler)),
        sweep_timer_(context) {}

  void Open();
  void Shutdown();
  void StopAccepting() {
    draining_ = true;
    acceptor_->Stop();
  }
  std::uint16_t Port() const { return acceptor_->Port(); }
  std::size_t OpenConnections() const { return open_.size() + lingering_; }

 private:
  std::shared_ptr<connection_settings> MakeSettings();
  void TakeConnection(asio::ip::tcp::socket socket);
  void OnConnectionClosed(restinio::connection_id_t id,
                          std::optional<asio::ip::tcp::socket> unread);
  void OnRequest(const restinio::request_handle_t& request);
  void SweepLater();
  void Sweep();

  asio::io_context& context_;
  http_server_options options_;
  http_handler handler_;
  std::shared_ptr<connection_acceptor> acceptor_;
  std::unique_ptr<connection_factory> factory_;
  std::unordered_map<restinio::connection_id_t, server_connection*> open_;
  std::size_t lingering_ = 0;
  asio::steady_timer sweep_timer_;
  bool draining_ = false;
  bool shut_down_ = false;
};

std::shared_ptr<connection_settings> http_server::impl::MakeSettings() {
  server_settings settings;
  settings.buffer_size(kReadBufferBytes)
      .max_pipelined_requests(kMaxPipelinedRequests)
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                    .max_url_size(kMaxTargetBytes)
                                    .max_field_name_size(kMaxFieldNameBytes)
                                    .max_field_value_size(kMaxFieldValueBytes)
                                    .max_field_count(kMaxFields)
                                    .max_body_size(options_.max_body_bytes))
      .request_handler(
          [weak = weak_from_this()](const restinio::request_handle_t& request) {
            if (const auto self = weak.lock()) {
              self->OnRequest(request);
            }
            return restinio::request_accepted();
          });
  return std::make_shared<connection_settings>(
      settings, ParserSettings(),
      std::make_shared<restinio::null_timer_manager_t>());
}

void http_server::impl::Open() {
  const auto self = weak_from_this();
  factory_ = std::make_unique<connection_factory>(
      MakeSettings(), std::make_unique<restinio::socket_options_setter_t>(
                          [](restinio::socket_options_t& options) {
                            std::error_code error;
                            options.set_option(asio::ip::tcp::no_delay(true),
                                               error);
                          }));
  acceptor_ = std::make_shared<connection_acceptor>(
      context_, connection_acceptor::hooks{
                    [self] {
                      const auto impl = self.lock();
                      return impl && impl->OpenConnections() <
                                         impl->options_.max_connections;
                    },
                    [self](asio::ip::tcp::socket socket) {
                      if (const auto impl = self.lock()) {
                        impl->TakeConnection(std::move(socket));
                      }
                    }});
  acceptor_->Listen(options_.address, options_.port, options_.share_port);
  SweepLater();
}

void http_server::impl::TakeConnection(asio::ip::tcp::socket socket) {
  std::error_code error;
  const auto remote = socket.remote_endpoint(error);
  if (error) {
    return;
  }
  const auto id = std::make_shared<restinio::connection_id_t>();
  const auto connection = std::make_shared<server_connection>(
      [weak = weak_from_this(),
       id](std::optional<asio::ip::tcp::socket> unread) {
        if (const auto self = weak.lock()) {
          self->OnConnectionClosed(*id, std::move(unread));
        }
      });
  const auto driver = factory_->create_new_connection(
      connection_socket(std::move(socket), connection), remote, {nullptr});
  *id = driver->connection_id();
  open_.emplace(*id, connection.get());
  driver->init();
}

void http_server::impl::OnConnectionClosed(
    restinio::connection_id_t id, std::optional<asio::ip::tcp::socket> unread) {
  open_.erase(id);
  if (unread && !shut_down_) {
    ++lingering_;
    CloseLingering(std::move(*unread), [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        --self->lingering_;
        self->acceptor_->Resume();
      }
    });
  }
  acceptor_->Resume();
}

void http_server::impl::OnRequest(const restinio::request_handle_t& request) {
  const auto found = open_.find(request->connection_id());
  if (found == open_.end()) {
    return;
  }
  server_connection* connection = found->second;
  connection->OnRequest();
  if (connection->EndAnnounced()) {
    // Its answer could not be sent any more, so it is not run either.
    return;
  }
  const auto& header = request->header();
  http_request taken;
  taken.method = header.method().c_str();
  taken.path = std::string(header.path());
  taken.query = std::string(header.query());
  header.for_each_field([&](const restinio::http_header_field_t& field) {
    taken.headers.push_back({field.name(), field.value()});
  });
  taken.body = request->body();
  const auto answer = std::make_shared<responder>(
      context_, options_.max_pending_bytes,
      [weak = weak_from_this()] {
        const auto self = weak.lock();
        return !self || self->draining_;
      },
      connection->shared_from_this(), request);
  if (!header.should_keep_alive()) {
    connection->EndAfterLast();
  }
  try {
    handler_(taken, answer);
  } catch (const std::exception&) {
    // Each does nothing where it comes too late: a request without an answer
    // gets its 500, a stream that was begun is cut.
    answer->Send(500, {}, {});
    answer->Abort();
  }
}

void http_server::impl::SweepLater() {
  sweep_timer_.expires_after(kSweepPeriod);
  sweep_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->shut_down_) {
      self->Sweep();
    }
  });
}

void http_server::impl::Sweep() {
  const time_point now = std::chrono::steady_clock::now();
  std::vector<std::shared_ptr<server_connection>> expired;
  for (const auto& [id, connection] : open_) {
    if (connection->Expired(now, options_)) {
      expired.push_back(connection->shared_from_this());
    }
  }
  for (const auto& connection : expired) {
    connection->Close();
  }
  SweepLater();
}

void http_server::impl::Shutdown() {
  shut_down_ = true;
  acceptor_->Abandon();
  sweep_timer_.cancel();
  std::vector<std::shared_ptr<server_connection>> open;
  for (const auto& [id, connection] : open_) {
    open.push_back(connection->shared_from_this());
  }
  for (const auto& connection : open) {
    connection->Close();
  }
}

http_server::http_server(asio::io_context& context,
                         const http_server_options& options,
                         http_handler handler)
    : impl_(std::make_shared<impl>(context, options, std::move(handler))) {
  impl_->Open();
}

http_server::~http_server() { impl_->Shutdown(); }

std::uint16_t http_server::Port() const { return impl_->Port(); }

void http_server::StopAccepting() { impl_->StopAccepting(); }

std::size_t http_server::OpenConnections() const {
  return impl_->OpenConnections();
}

}  // namespace slatestall
