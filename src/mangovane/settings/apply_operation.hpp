// One change on its way to the platform: a state machine over the answers of the platform.
#ifndef MANGOVANE_SETTINGS_APPLY_OPERATION_HPP
#define MANGOVANE_SETTINGS_APPLY_OPERATION_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "mangovane/settings/store.hpp"

namespace mangovane::internal
{

/// Key of the history row of a version.
[[nodiscard]] std::string history_key(std::uint64_t version);

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
    using row_answer = absl::StatusOr<std::optional<table_row>>;
    using write_answer = absl::StatusOr<std::vector<write_result>>;

    void on_head(const row_answer& row);
    void search_history(std::uint64_t version);
    void on_history(std::uint64_t version, const row_answer& row);
    void prepare();
    void put_object();
    void write();
    void on_written(const write_answer& answer);
    void read_back();
    void on_read_back(const row_answer& row);

    /// Ends the operation if the row tells which change became the version that was tried.
    bool finish_if_recorded(const std::string& row);

    void finish(apply_result result, settings_record head = {}, std::string error = {});
    void fail(std::string error);
    void finish_with_conflict(const settings_record& other);

    table_service& table_;
    object_store& objects_;
    settings_change change_;
    time_point deadline_;
    settings_store::apply_handler handler_;
    settings_record head_; ///< The newest change when the operation began; version 0: none.
    std::uint64_t head_revision_{0};
    settings_record proposed_; ///< The own change as the rows will hold it.
    std::uint32_t write_attempts_{0};
    bool write_in_doubt_{false}; ///< A write was sent whose effect is not known.
};

} // namespace mangovane::internal

#endif
