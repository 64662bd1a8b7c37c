package org.plantainshunt.configuration;

/**
 * The error codes of invalid configuration documents.
 *
 * <p>A number never changes its meaning once it is released. Immutable and safe for use by any thread.
 */
public enum DocumentErrorCode {
    /** The document holds no section. */
    EMPTY_DOCUMENT(2000, "The document holds no section."),
    /** The document is larger than the configuration service can hold. */
    DOCUMENT_TOO_LARGE(2001, "The document is larger than the configuration service can hold."),
    /** The document is not UTF-8 text. */
    NOT_UTF8(2002, "The document is not UTF-8 text."),
    /** The line is neither a comment, a section heading nor a key with a value. */
    MALFORMED_LINE(2003, "The line is neither a comment, a section heading nor a key with a value."),
    /** The key stands before the first section. */
    KEY_OUTSIDE_SECTION(2004, "The key stands before the first section."),
    /** There is no such section. */
    UNKNOWN_SECTION(2005, "There is no such section."),
    /** The section was given before. */
    DUPLICATE_SECTION(2006, "The section was given before."),
    /** The section has no such key. */
    UNKNOWN_KEY(2007, "The section has no such key."),
    /** The key was given before in the same section. */
    DUPLICATE_KEY(2008, "The key was given before in the same section."),
    /** A section that each document needs is missing. */
    MISSING_SECTION(2009, "A section that each document needs is missing."),
    /** A key without a default is missing. */
    MISSING_KEY(2010, "A key without a default is missing."),
    /** The name has characters that names do not have, or is too long. */
    INVALID_NAME(2011, "The name has characters that names do not have, or is too long."),
    /** The value is not a number of the expected form. */
    INVALID_NUMBER(2012, "The value is not a number of the expected form."),
    /** The number needs a unit, or has a unit of another dimension. */
    INVALID_UNIT(2013, "The number needs a unit, or has a unit of another dimension."),
    /** The value is outside its range. */
    OUT_OF_RANGE(2014, "The value is outside its range."),
    /** The value is none of the words that the key takes. */
    INVALID_CHOICE(2015, "The value is none of the words that the key takes."),
    /** An entry of the list of calls is malformed. */
    MALFORMED_CALL(2016, "An entry of the list of calls is malformed."),
    /** The list of calls names the same kind of request twice. */
    DUPLICATE_CALL(2017, "The list of calls names the same kind of request twice."),
    /** The document has no section for this service. */
    UNKNOWN_SERVICE(2018, "The document has no section for this service."),
    /** The document has no section for this kind of request. */
    UNKNOWN_KIND(2019, "The document has no section for this kind of request."),
    /** The document has no section for this region. */
    UNKNOWN_REGION(2020, "The document has no section for this region."),
    /** A link joins a region to itself. */
    LINK_WITHIN_REGION(2021, "A link joins a region to itself."),
    /** The deadline is longer than a planned stop may take. */
    DEADLINE_TOO_LONG(2022, "The deadline is longer than a planned stop may take."),
    /** A kind of request calls itself, directly or through other kinds. */
    CALL_CYCLE(2023, "A kind of request calls itself, directly or through other kinds."),
    /** The calls form a chain that is too deep. */
    CHAIN_TOO_DEEP(2024, "The calls form a chain that is too deep."),
    /** There are more errors than are reported. */
    TOO_MANY_ERRORS(2099, "There are more errors than are reported.");

    private final int number;
    private final String explanation;

    DocumentErrorCode(int number, String explanation) {
        this.number = number;
        this.explanation = explanation;
    }

    /** Returns the number, 2000 to 2099. */
    public int number() {
        return number;
    }

    /** Returns a one-sentence explanation for operators. */
    public String explanation() {
        return explanation;
    }
}
