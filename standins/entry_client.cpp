#include "standins/entry_client.h"

#include <charconv>
#include <stdexcept>

namespace standins {

namespace {

constexpr time_t ConnectTimeoutSeconds = 2;
constexpr time_t WriteTimeoutSeconds = 10;

} // namespace

std::unique_ptr<httplib::Client> makeClient(const std::string &Address,
                                            milliseconds ReadTimeout) {
  size_t Colon = Address.rfind(':');
  int Port = 0;
  const char *End = Address.data() + Address.size();
  if (Colon != std::string::npos)
    std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Colon == 0 || Port <= 0 || Port > 65535)
    throw std::invalid_argument("\"" + Address +
                                "\" is not of the form IP:port");
  auto Client =
      std::make_unique<httplib::Client>(Address.substr(0, Colon), Port);
  Client->set_keep_alive(true);
  Client->set_tcp_nodelay(true);
  Client->set_connection_timeout(ConnectTimeoutSeconds);
  Client->set_read_timeout(ReadTimeout);
  Client->set_write_timeout(WriteTimeoutSeconds);
  return Client;
}

entry_client::entry_client(std::vector<std::string> Entries,
                           milliseconds ReadTimeout)
    : Entries(std::move(Entries)), ReadTimeout(ReadTimeout),
      Client(makeClient(this->Entries.at(0), ReadTimeout)) {}

entry_response entry_client::call(const std::string &Method,
                                  const std::string &Path,
                                  const std::string &Body) {
  constexpr const char *Type = "application/json";
  auto Result = Method == "PUT" ? Client->Put(Path, Body, Type)
                                : Client->Post(Path, Body, Type);
  if (!Result)
    return {};
  return {Result->status, std::move(Result->body)};
}

httplib::Error entry_client::send(httplib::Request &Request,
                                  httplib::Response &Response) {
  httplib::Error Error = httplib::Error::Success;
  if (!Client->send(Request, Response, Error) &&
      Error == httplib::Error::Success)
    Error = httplib::Error::Unknown;
  return Error;
}

void entry_client::useNextEntry() {
  CurrentEntry = (CurrentEntry + 1) % Entries.size();
  Client = makeClient(Entries[CurrentEntry], ReadTimeout);
}

} // namespace standins
