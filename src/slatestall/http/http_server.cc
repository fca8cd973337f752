#include "slatestall/http/http_server.h"

#include <asio/steady_timer.hpp>
#include <restinio/all.hpp>
#include <unordered_map>
#include <utility>

#include "slatestall/http/ascii_case.h"
#include "slatestall/http/connection_acceptor.h"
#include "slatestall/http/connection_responder.h"
#include "slatestall/http/connection_socket.h"
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

class restinio_output final : public answer_output {
 public:
  explicit restinio_output(restinio::request_handle_t request)
      : request_(std::move(request)) {}

  void Send(const answer_head& head, std::string body) override {
    if (request_->header().method() == restinio::http_method_head()) {
      auto answer = Builder<restinio::user_controlled_output_t>(head);
      answer.set_content_length(body.size()).done();
      return;
    }
    auto answer = Builder<restinio::restinio_controlled_output_t>(head);
    answer.set_body(std::move(body)).done();
  }

  void Start(const answer_head& head, written_hook written) override {
    stream_.emplace(Builder<restinio::chunked_output_t>(head));
    stream_->flush(std::move(written));
  }

  void Write(std::string chunk, written_hook written) override {
    stream_->append_chunk(std::move(chunk)).flush(std::move(written));
  }

  void Finish(std::string chunk, written_hook written) override {
    stream_->append_chunk(std::move(chunk)).done(std::move(written));
  }

 private:
  template <class Output>
  restinio::response_builder_t<Output> Builder(const answer_head& head) {
    const auto code = static_cast<std::uint16_t>(head.status);
    auto builder = request_->create_response<Output>(
        {restinio::http_status_code_t(code),
         std::string(StatusPhrase(head.status))});
    for (const http_header& header : head.headers) {
      if (!IsFramingField(header.name)) {
        builder.append_header(header.name, header.value);
      }
    }
    if (head.end_connection) {
      builder.connection_close();
    }
    return builder;
  }

  restinio::request_handle_t request_;
  std::optional<restinio::response_builder_t<restinio::chunked_output_t>>
      stream_;
};

http_request TakeRequest(const restinio::request_t& request) {
  const auto& header = request.header();
  http_request taken;
  taken.method = header.method().c_str();
  taken.path = std::string(header.path());
  taken.query = std::string(header.query());
  header.for_each_field([&](const restinio::http_header_field_t& field) {
    taken.headers.push_back({field.name(), field.value()});
  });
  taken.body = request.body();
  return taken;
}

}  // namespace

class http_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& context, http_server_options options,
       http_handler handler)
      : context_(context),
        options_(std::move(options)),
        handler_(std::move(handler)),
        settings_(std::make_shared<responder_settings>(
            responder_settings{options_.max_pending_bytes})),
        sweep_timer_(context) {}

  void Open();
  void Shutdown();
  void StopAccepting() {
    settings_->draining = true;
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
  /// Shared, since responders may outlive the server.
  std::shared_ptr<responder_settings> settings_;
  std::shared_ptr<connection_acceptor> acceptor_;
  std::unique_ptr<connection_factory> factory_;
  std::unordered_map<restinio::connection_id_t, server_connection*> open_;
  std::size_t lingering_ = 0;
  asio::steady_timer sweep_timer_;
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
  const auto answer = std::make_shared<connection_responder>(
      context_, settings_, connection->shared_from_this(),
      std::make_unique<restinio_output>(request));
  if (!request->header().should_keep_alive()) {
    connection->EndAfterLast();
  }
  try {
    handler_(TakeRequest(*request), answer);
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
