// State machine that applies one settings change, driven by the platform's responses.
#ifndef MANGOVANE_SETTINGS_APPLY_OPERATION_HPP
#define MANGOVANE_SETTINGS_APPLY_OPERATION_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "mangovane/settings/store.hpp"

namespace mangovane::internal
{

/// Table key of the history row of a version.
[[nodiscard]] std::string history_key(std::uint64_t version);

/// Checks a change, stores its text and writes its rows. A write whose response was lost is read
/// back and, if needed, repeated. Keeps itself alive until the handler has been called.
class apply_operation : public std::enable_shared_from_this<apply_operation>
{
public:
    apply_operation(table_service& table,
                    object_store& objects,
                    settings_change change,
                    time_point deadline,
                    settings_store::apply_handler handler);

    void start();

private:
    using row_response = absl::StatusOr<std::optional<table_row>>;
    using write_response = absl::StatusOr<std::vector<write_result>>;

    void on_head(const row_response& row);
    void search_history(std::uint64_t version);
    void on_history(std::uint64_t version, const row_response& row);
    void prepare();
    void put_object();
    void write();
    void on_written(const write_response& response);
    void read_back();
    void on_read_back(const row_response& row);

    /// Finishes the operation if the row records which change became the version. Returns false for
    /// a row that cannot be parsed.
    bool finish_if_recorded(const std::string& row);

    void finish(apply_result result, settings_record head = {}, std::string error = {});
    void fail(std::string error);
    void finish_with_conflict(const settings_record& other);

    table_service& table_;
    object_store& objects_;
    settings_change change_;
    time_point deadline_;
    settings_store::apply_handler handler_;
    settings_record head_; ///< Newest change when the operation began; version 0 if there is none.
    std::uint64_t head_revision_{0};
    settings_record proposed_; ///< Record of this change, as it is written to the rows.
    std::uint32_t write_attempts_{0};
    bool write_in_doubt_{false}; ///< A write was sent and may or may not have taken effect.
};

} // namespace mangovane::internal

#endif
