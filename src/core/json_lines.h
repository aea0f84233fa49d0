#ifndef WC_CORE_JSON_LINES_H
#define WC_CORE_JSON_LINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include <wigeoncart/status.h>

/** wc_json_blank_comments() - replace comments by spaces, keeping offsets and lines. Return: offset of a comment that
 * is not closed, or @size_bytes. */
size_t wc_json_blank_comments (char *text, size_t size_bytes);

/** wc_json_count_line() - line of the byte at @offset, from 1. */
uint32_t wc_json_count_line (const char *text, size_t offset);

/**
 * wc_json_record_lines() - store the line of each value as user data of the json-c object.
 * @text: without comments; json-c parsed it to @root in strict mode.
 *
 * Return: false with INVALID in @error for a duplicate key, a key with an escape, or a null value.
 */
bool
wc_json_record_lines (const char *name, const char *text, size_t size_bytes, struct json_object *root, WcError *error);

#endif
