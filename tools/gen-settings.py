#!/usr/bin/env python3
"""Generates wire/conf-gen.h, wire/conf-gen.c and docs/SETTINGS.md.

Usage: gen-settings.py SCHEMA ROOT
"""
import json
import re
import sys

C_TYPES = {"name": "char *", "text": "char *", "choice": "char *",
           "int": "int64_t ", "real": "double ", "bool": "bool ",
           "list": "char **"}


def load_schema(path):
    """Reads a JSON file that may have lines of // comments."""
    with open(path) as file:
        text = re.sub(r"^\s*//.*$", "", file.read(), flags=re.M)
    return json.loads(text)


def c_quote(value):
    return '"' + str(value).replace("\\", "\\\\").replace('"', '\\"') + '"'


def default_text(field):
    """Returns the default of a field as in JSON, or "" if it has none."""
    value = field.get("default", "")
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def c_header(schema):
    out = ["/* Made by tools/gen-settings.py of schema/settings.json. */",
           "#ifndef WIRE_CONF_GEN_H", "#define WIRE_CONF_GEN_H", "",
           "#include <stdbool.h>", "#include <stdint.h>", ""]
    out += ["/* The kinds of settings objects. */", "enum conf_kind {"]
    out += ["\tCONF_%s," % kind.upper() for kind in schema]
    out += ["\tCONF_KIND_COUNT,", "};", ""]
    for kind, spec in schema.items():
        out += ["/* %s */" % spec["doc"], "struct conf_%s {" % kind]
        for name, field in spec["fields"].items():
            out.append("\t%s%s;" % (C_TYPES[field["type"]], name))
        out += ["};", ""]
    return "\n".join(out + ["#endif", ""])


def c_source(schema):
    out = ["/* Made by tools/gen-settings.py of schema/settings.json. */",
           '#include "conf.h"', "", "#include <stddef.h>", ""]
    for kind, spec in schema.items():
        for name, field in spec["fields"].items():
            if field["type"] == "choice":
                choices = ", ".join(c_quote(c) for c in field["choices"])
                out += ["static const char *const %s_%s_choices[] = {"
                        % (kind, name), "\t%s, NULL" % choices, "};", ""]
        out.append("static const struct conf_field %s_fields[] = {" % kind)
        for name, field in spec["fields"].items():
            out += ["\t{",
                    "\t\t.name = %s," % c_quote(name),
                    "\t\t.type = CONF_TYPE_%s," % field["type"].upper(),
                    "\t\t.offset = offsetof(struct conf_%s, %s),"
                    % (kind, name)]
            if field.get("required"):
                out.append("\t\t.required = true,")
            if "min" in field:
                out.append("\t\t.min = %s," % field["min"])
                out.append("\t\t.max = %s," % field["max"])
            if default_text(field):
                out.append("\t\t.fallback = %s," %
                           c_quote(default_text(field)))
            if field["type"] == "choice":
                out.append("\t\t.choices = %s_%s_choices," % (kind, name))
            out.append("\t},")
        out += ["};", ""]
    out.append("const struct conf_spec conf_specs[CONF_KIND_COUNT] = {")
    for kind in schema:
        out += ["\t[CONF_%s] = {" % kind.upper(),
                "\t\t.name = %s," % c_quote(kind),
                "\t\t.size = sizeof(struct conf_%s)," % kind,
                "\t\t.fields = %s_fields," % kind,
                "\t\t.count = sizeof(%s_fields) / sizeof(%s_fields[0]),"
                % (kind, kind), "\t},"]
    return "\n".join(out + ["};", ""])


def settings_page(schema):
    out = ["# Settings", "",
           "Made by tools/gen-settings.py of schema/settings.json. All are",
           "JSON objects; `//` and `/* */` comments are allowed. Unknown keys",
           "are refused.", ""]
    for kind, spec in schema.items():
        out += ["## %s" % kind, "", spec["doc"], "",
                "| key | type | default | range | meaning |",
                "| --- | --- | --- | --- | --- |"]
        for name, field in spec["fields"].items():
            limits = ""
            if "min" in field:
                limits = "%s to %s" % (field["min"], field["max"])
            if "choices" in field:
                limits = ", ".join(field["choices"])
            fallback = "required" if field.get("required") else \
                "`%s`" % default_text(field) if default_text(field) else ""
            out.append("| `%s` | %s | %s | %s | %s |" % (
                name, field["type"], fallback, limits, field["doc"]))
        out.append("")
    return "\n".join(out)


def main():
    schema = load_schema(sys.argv[1])
    root = sys.argv[2]
    for name, text in (("wire/conf-gen.h", c_header(schema)),
                       ("wire/conf-gen.c", c_source(schema)),
                       ("docs/SETTINGS.md", settings_page(schema))):
        with open("%s/%s" % (root, name), "w") as file:
            file.write(text)


main()
