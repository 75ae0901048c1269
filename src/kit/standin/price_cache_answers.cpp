// The answers of a stand-in price cache: their text, what a fault makes of it, and the parts in
// which they are released for writing.
#include <algorithm>
#include <cstdio>

#include "price_cache.hpp"

namespace violetusher::standin {
namespace {

using kit::Answered;

constexpr std::uint64_t kLongValueDraw = 1u << 20;  // beside the draws of requests and servers

/// Bytes of an answer that a client is owed by its deadline: of a long value the line alone.
std::size_t owed_by_deadline(const std::string& answer) {
  std::size_t line = answer.find("\r\n") + 2;
  return answer.size() > line + protocol::kMaxValueBytes + 2 ? line : answer.size();
}

}  // namespace

std::uint64_t PriceCache::size_of(const std::string& key) const {
  auto low = static_cast<std::uint64_t>(shared_.spec.value_low);
  auto high = static_cast<std::uint64_t>(shared_.spec.value_high);
  std::uint64_t hash = kit::hash_of(key);
  if (shared_.draws.uniform(kit::Stream::kFault, hash, kLongValueDraw) < shared_.spec.long_share)
    return protocol::kMaxValueBytes + 1 +
           hash % (shared_.spec.long_high - protocol::kMaxValueBytes);
  return low + hash % (high - low + 1);
}

/// The value names its request, so that the answer of another request cannot be mistaken for it.
std::string PriceCache::served_text(Exchange& exchange) {
  const auto& command = exchange.command;
  std::string value =
      command.key + "|" + command.id + "|" + id() + "|" + std::to_string(exchange.token) + "|";
  value.resize(std::max<std::size_t>(value.size(), size_of(command.key)), '.');
  record(exchange).value = kit::hash_of(value);
  return "VA " + std::to_string(value.size()) + " O" + command.id +
         (exchange.hit           ? " h1"
          : exchange.other_fetch ? " h0 Z"
                                 : " h0") +
         report() + "\r\n" + value;
}

std::string PriceCache::report() const {
  if (reports_.empty()) return {};
  const Load& load = reports_.front();
  char text[96];
  std::snprintf(text, sizeof text, " Lload_share=%.3f,mean_ms=%.2f,x0=%.3f", load.utilisation,
                load.mean_ms, load.hits);
  return text;
}

void PriceCache::finish(Exchange& exchange, Answered how, std::string text) {
  const Fault* late = fault(FaultKind::kLate);
  Micros now = shared_.loop.now(), at = now;
  text += "\r\n";
  bool ran = how == Answered::kServed;
  bool close = false;
  const std::string& id = exchange.command.id;
  if (ran && fault_applies(FaultKind::kErrors, exchange)) {
    how = Answered::kError;
    text = "SERVER_ERROR failed\r\n";
  } else if (ran && fault_applies(FaultKind::kResets, exchange)) {
    how = Answered::kReset;
    close = true;
  } else if (ran && fault_applies(FaultKind::kNoise, exchange)) {
    how = Answered::kSpoilt;
    text = std::string("\x01\xff\x7f\x00?!", 6) + id + "\r\n\r\n";
  } else if (ran && fault_applies(FaultKind::kEndless, exchange)) {
    how = Answered::kSpoilt;
    text = "VA " + std::string(8192, '9');
  } else if (ran && fault_applies(FaultKind::kLength, exchange)) {
    how = Answered::kSpoilt;
    text = "VA 7 O" + id + " h1\r\nnot seven bytes\r\n";
  } else if (ran && fault_applies(FaultKind::kOtherId, exchange)) {
    how = Answered::kSpoilt;
    text = "VA 5 Oq18446744073709551-9 h1\r\nother\r\n";
  } else if (ran && fault_applies(FaultKind::kSecondCopy, exchange)) {
    text += text;  // the first copy is valid, so the request is served
  }
  if (late && fault_applies(FaultKind::kLate, exchange))
    at = std::max(
        now, exchange.arrived + static_cast<Micros>(exchange.command.wait_ms * 1000) + late->delay);
  at += shared_.network_delay(exchange.connection->router(), spec().hall);
  std::uint64_t token = exchange.token;
  // Never delivered synchronously: the connection may be iterating over its commands.
  shared_.loop.at(at, [this, token, how, text = std::move(text), close]() mutable {
    deliver(token, how, std::move(text), close);
  });
}

void PriceCache::deliver(std::uint64_t token, Answered how, std::string text,
                         bool reset_connection) {
  auto it = shared_.exchanges.find(token);
  if (it == shared_.exchanges.end()) return;  // its connection was closed
  Exchange& exchange = *it->second;
  auto& record = this->record(exchange);
  record.made = shared_.loop.now();
  Connection& connection = *exchange.connection;
  if (reset_connection) return close(connection, true);
  exchange.text = std::move(text);
  exchange.how = how;  // recorded once it is written, as other answers may have to go first
  exchange.done = true;
  write_answer(exchange);
  connection.flush();
}

/// The fault that slows this answer down, or null. Only sound answers are: a router may close on
/// any other as soon as it sees what it is.
const Fault* PriceCache::slow_writing(const Exchange& exchange) const {
  if (exchange.how != Answered::kServed || fault_applies(FaultKind::kSecondCopy, exchange))
    return nullptr;
  for (FaultKind kind : {FaultKind::kPieces, FaultKind::kLateBody})
    if (fault_applies(kind, exchange)) return fault(kind);
  return nullptr;
}

/// Releases the answer for writing: at once, or in the parts that a fault asks for.
void PriceCache::write_answer(Exchange& exchange) {
  const Fault* pieces = slow_writing(exchange);
  std::size_t size = exchange.text.size();
  if (!pieces || pieces->bytes == 0 || pieces->bytes >= size) {
    exchange.released = size;
    return;
  }
  auto first = static_cast<std::size_t>(pieces->bytes);
  std::size_t step = pieces->kind == FaultKind::kPieces ? first : size - first;
  std::size_t owed = owed_by_deadline(exchange.text);
  std::size_t gaps = owed > first ? (owed - first + step - 1) / step : 0;
  exchange.released = first;
  record(exchange).would_suffice = shared_.loop.now() + static_cast<Micros>(gaps) * pieces->delay;
  release_later(exchange.token, step, pieces->delay);
}

void PriceCache::release_later(std::uint64_t token, std::size_t step, Micros gap) {
  shared_.loop.at(shared_.loop.now() + gap, [this, token, step, gap] {
    auto it = shared_.exchanges.find(token);
    if (it == shared_.exchanges.end()) return;  // its connection was closed
    Exchange& exchange = *it->second;
    exchange.released = std::min(exchange.released + step, exchange.text.size());
    if (exchange.released < exchange.text.size()) release_later(token, step, gap);
    exchange.connection->flush();
  });
}

}  // namespace violetusher::standin
