#ifndef WC_EMULATOR_EMULATOR_JSON_H
#define WC_EMULATOR_EMULATOR_JSON_H

#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

#include "edge/http_server.h"

/**
 * wc_emulator_json_parse() - parse a JSON object, in which comments are allowed.
 * @name: name of the text in error messages.
 *
 * Return: NULL with @error set when the text is malformed or not an object.
 */
struct json_object *wc_emulator_json_parse (const char *name, const char *text, size_t size_bytes, WcError *error);

/** wc_emulator_json_load() - read and parse a file. Return: NULL with @error set as for wc_emulator_json_parse(). */
struct json_object *wc_emulator_json_load (const char *path, WcError *error);

/* Values of the member @key of an object; @default_value when it is missing or has another type. */
const char *wc_emulator_json_get_string (struct json_object *object, const char *key, const char *default_value);
int64_t     wc_emulator_json_get_int (struct json_object *object, const char *key, int64_t default_value);
double      wc_emulator_json_get_double (struct json_object *object, const char *key, double default_value);

void wc_emulator_json_add_uint (struct json_object *object, const char *key, uint64_t value);

/** wc_emulator_json_respond() - respond with the object as JSON text, and release the object. */
void wc_emulator_json_respond (WcHttpExchange *exchange, int status, struct json_object *object);

/** wc_emulator_json_respond_error() - respond with {"error": "..."}. */
void wc_emulator_json_respond_error (WcHttpExchange *exchange, int status, const char *message);

#endif
