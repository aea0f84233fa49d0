#ifndef WC_CORE_JSON_LINES_H
#define WC_CORE_JSON_LINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include <wigeoncart/status.h>

/** wc_json_blank_comments() - replace comments by spaces, so that offsets and line numbers do not change. Return:
 * offset of an unterminated comment, or @size_bytes when there is none. */
size_t wc_json_blank_comments (char *text, size_t size_bytes);

/** wc_json_count_line() - line number of the byte at @offset, from 1. */
uint32_t wc_json_count_line (const char *text, size_t offset);

/**
 * wc_json_record_lines() - store the line number of each value as user data of its json-c object.
 * @text: text without comments that json-c has parsed to @root in strict mode.
 *
 * Return: false with INVALID in @error for a duplicate key, a key with an escape sequence, or a null value.
 */
bool
wc_json_record_lines (const char *name, const char *text, size_t size_bytes, struct json_object *root, WcError *error);

#endif
