"""Formatting of plain-text tables."""


def format_table(rows, columns):
    """Return rows of dictionaries as an aligned table.

    Args:
        rows: dictionaries with the values by column name.
        columns: names of the columns, in order.

    Returns:
        The lines of the table, with the headings in upper case. A value
        that is missing or empty is shown as ``-``.
    """
    lines = [[column.replace('_', ' ').upper() for column in columns]]
    for row in rows:
        lines.append([_format_cell(row.get(column)) for column in columns])
    widths = [max(len(cell) for cell in column) for column in zip(*lines)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in lines
    )


def _format_cell(value):
    if value is None or value == '':
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, (list, tuple)):
        return ','.join(_format_cell(item) for item in value) or '-'
    return str(value)
