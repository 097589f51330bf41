// Formats a burn report as text, JSON or one self-contained HTML page.

#ifndef MEDLARSPREAD_BURN_REPORT_FORMAT_H_
#define MEDLARSPREAD_BURN_REPORT_FORMAT_H_

#include <string>

#include "src/base/name_table.h"
#include "src/burn/report.h"

namespace medlarspread::burn {

enum class ReportFormat { kText, kJson, kHtml };

inline constexpr base::NameTable<ReportFormat, 3> kReportFormatNames{{{
    {ReportFormat::kText, "text"},
    {ReportFormat::kJson, "json"},
    {ReportFormat::kHtml, "html"},
}}};

inline constexpr base::NameTable<Verdict, 4> kVerdictNames{{{
    {Verdict::kMet, "met"},
    {Verdict::kOpen, "open"},
    {Verdict::kMissed, "missed"},
    {Verdict::kIdle, "idle"},
}}};

// The media type of a report in `format`, for HTTP.
const char* ContentTypeOf(ReportFormat format);

std::string FormatReport(const BurnReport& report, ReportFormat format);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_REPORT_FORMAT_H_
