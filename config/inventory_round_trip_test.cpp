#include "config/configuration.h"
#include "config/csv_reader.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace cardamom {

static rc::Gen<std::string> identifiers() {
  const auto Letters = rc::gen::element('a', 'Z', '0', '-', '_', '.');
  return rc::gen::map(
      rc::gen::container<std::string>(Letters),
      [](const std::string &Tail) { return "x" + Tail.substr(0, 40); });
}

/// Generates assets with unique names and addresses, and pools of one kind.
static std::vector<asset> generateAssets() {
  std::vector<asset> Assets;
  const auto Count = *rc::gen::inRange<unsigned>(1, 20);
  for (unsigned I = 0; I < Count; ++I) {
    const std::string N = std::to_string(I + 1);
    asset Asset;
    Asset.Name = *identifiers() + "." + N;
    Asset.Kind = I == 0
                     ? asset_kind::Entry
                     : *rc::gen::element(asset_kind::Entry, asset_kind::Model,
                                         asset_kind::Plain);
    if (Asset.Kind != asset_kind::Entry)
      Asset.Pool = std::string(toString(Asset.Kind)) + *identifiers();
    Asset.Vm = *identifiers();
    Asset.Region = *identifiers();
    Asset.FailureDomain = *identifiers();
    Asset.InnerAddress = "127.0.0.1:" + N;
    Asset.Address = "127.0.0.2:" + N;
    Asset.Concurrency = *rc::gen::inRange(1, 4097);
    Assets.push_back(std::move(Asset));
  }
  return Assets;
}

/// Quotes every field and ends lines with CRLF, as some CSV exports do.
static std::string quoteAllFields(const std::string &Csv) {
  std::string Text = "\"";
  for (const char C : Csv.substr(0, Csv.size() - 1)) {
    if (C == ',')
      Text += "\",\"";
    else if (C == '\n')
      Text += "\"\r\n\"";
    else
      Text += C;
  }
  return Text + "\"\r\n";
}

class inventory_round_trip_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(inventory_round_trip_test);
  CPPUNIT_TEST(readsWhatItWrote);
  CPPUNIT_TEST(readsAnyQuotedField);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against inventories that change when they are formatted and parsed
  // again, with LF or CRLF and with or without quotes.
  void readsWhatItWrote() {
    CPPUNIT_ASSERT(rc::check("inventory round trip", [] {
      const std::vector<asset> Assets = generateAssets();
      const std::string Csv = formatInventory(Assets);
      for (const std::string &Text : {Csv, quoteAllFields(Csv)}) {
        const configuration C =
            parseConfiguration({.InventoryCsv = Text, .RulesJson = "{}"});
        RC_ASSERT(C.Assets == Assets);
      }
    }));
  }

  // Guards against fields that are split or truncated at commas, quotes or line
  // ends.
  void readsAnyQuotedField() {
    CPPUNIT_ASSERT(rc::check("field round trip", [] {
      const auto Bytes = rc::gen::element('a', ',', '"', '\r', '\n', ' ');
      const auto Fields =
          *rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(
              rc::gen::container<std::string>(Bytes)));
      std::string Line = "first";
      for (const std::string &Field : Fields)
        Line += "," + formatCsvField(Field);
      csv_reader Reader("test", Line);
      csv_row Row;
      RC_ASSERT(Reader.next(Row));
      Row.Fields.erase(Row.Fields.begin());
      RC_ASSERT(Row.Fields == Fields);
      RC_ASSERT(!Reader.next(Row));
    }));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(inventory_round_trip_test,
                                      "inventory_round_trip_test");

} // namespace cardamom
