/**
 * Replaces control characters by spaces. Text from a daemon could otherwise
 * contain terminal escape sequences.
 */
export function replaceControlCharacters(text: string): string {
  return text.replace(/\p{Cc}/gu, ' ');
}

/** Formats rows as aligned columns with headings. Undefined cells are empty. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly unknown[])[],
): string {
  const cells = [headings, ...rows].map(row =>
    row.map(cell =>
      cell === undefined ? '' : replaceControlCharacters(String(cell)),
    ),
  );
  const widths = headings.map((unusedHeading, column) =>
    Math.max(...cells.map(row => row[column].length)),
  );
  return cells
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats a Unix time in ms as ISO 8601; empty if it is out of range. */
export function formatTime(timeMs: number): string {
  const time = new Date(timeMs);
  return Number.isNaN(time.getTime()) ? '' : time.toISOString();
}
