#ifndef WC_CORE_JSON_DOC_H
#define WC_CORE_JSON_DOC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include <wigeoncart/address.h>
#include <wigeoncart/register.h>
#include <wigeoncart/status.h>

enum
{
  WC_JSON_NAME_MAX_BYTES = 63
};

/** enum WcJsonType - types of values in registers, heads and settings. */
typedef enum
{
  /* Integer in a range. */
  WC_JSON_UINT = 0,
  /* Number with or without a fraction, in a range. */
  WC_JSON_NUMBER,
  WC_JSON_BOOL,
  /* 1 to WC_JSON_NAME_MAX_BYTES letters, digits, '.', '_' and '-', starting with a letter or digit. */
  WC_JSON_NAME,
  /* IP address and port; the IP address must not be unspecified. */
  WC_JSON_ADDRESS,
  /* IP address and port to listen on; the IP address may be unspecified. */
  WC_JSON_LISTEN_ADDRESS,
  /* Base64 encoding of WC_KEY_BYTES bytes. */
  WC_JSON_SECRET,
  /* 32-byte digest in lower-case hexadecimal digits. */
  WC_JSON_DIGEST,
  /* One of a list of strings. */
  WC_JSON_CHOICE,
  WC_JSON_ARRAY,
  WC_JSON_OBJECT,
  WC_JSON_TYPE_COUNT
} WcJsonType;

/**
 * struct WcJsonField - schema of a key of an object.
 * @min, @max: range of a WC_JSON_UINT or WC_JSON_NUMBER; minimum and maximum number of elements of a WC_JSON_ARRAY or
 * WC_JSON_OBJECT.
 * @choices: allowed strings of a WC_JSON_CHOICE, terminated by NULL.
 */
typedef struct
{
  const char        *key;
  WcJsonType         type;
  bool               required;
  uint64_t           min;
  uint64_t           max;
  const char *const *choices;
} WcJsonField;

/** struct WcJsonDoc - parsed JSON text with the line number of each value. */
typedef struct WcJsonDoc WcJsonDoc;

/**
 * wc_json_doc_new() - parse a JSON object; comments are allowed, other extensions are not.
 * @name: name of the text in error messages.
 *
 * Duplicate keys, null values and keys with escape sequences are errors.
 *
 * Return: a new document, or NULL with PARSE or INVALID in @error.
 */
WcJsonDoc *wc_json_doc_new (const char *name, const char *text, size_t size_bytes, WcError *error);

/** wc_json_doc_load() - like wc_json_doc_new(), from a file of at most 64 KiB. Return: NULL with NOT_FOUND, TOO_LARGE,
 * PARSE or INVALID in @error. */
WcJsonDoc *wc_json_doc_load (const char *path, WcError *error);
void       wc_json_doc_delete (WcJsonDoc *doc);

struct json_object *wc_json_doc_get_root (const WcJsonDoc *doc);

/** wc_json_doc_check() - check the keys and values of an object against @fields. Return: false with INVALID in @error
 * when a key is unknown or missing, or a value is not valid. */
bool wc_json_doc_check (const WcJsonDoc *doc, struct json_object *object, const WcJsonField *fields, size_t count,
                        WcError *error);

/** wc_json_doc_check_value() - check one value, such as an element of an array, against @field. Return: false with
 * INVALID in @error. */
bool
wc_json_doc_check_value (const WcJsonDoc *doc, struct json_object *value, const WcJsonField *field, WcError *error);

/** wc_json_get_line() - line number of a value in the text, from 1. */
uint32_t wc_json_get_line (struct json_object *value);

/* Values of a checked object; @fallback, or an address of family 0, when the key is absent. */
uint64_t    wc_json_get_uint (struct json_object *object, const char *key, uint64_t fallback);
double      wc_json_get_number (struct json_object *object, const char *key, double fallback);
bool        wc_json_get_bool (struct json_object *object, const char *key, bool fallback);
const char *wc_json_get_string (struct json_object *object, const char *key, const char *fallback);
void        wc_json_get_address (struct json_object *object, const char *key, WcAddress *address);

/** wc_json_decode_secret() - decode base64. Return: false unless @text encodes exactly WC_KEY_BYTES bytes. */
bool wc_json_decode_secret (const char *text, uint8_t secret[WC_KEY_BYTES]);

/** wc_json_fail() - set @error to INVALID with the message "name:line: key: reason". Return: false. */
bool wc_json_fail (WcError *error, const char *name, uint32_t line, const char *key, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

#endif
