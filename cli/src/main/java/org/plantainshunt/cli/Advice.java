package org.plantainshunt.cli;

/**
 * What to do about a result code.
 *
 * @param why why the code comes out
 * @param caller what the caller should do
 * @param operator what the operator should do
 */
record Advice(String why, String caller, String operator) {}
